package org.quetzalloom.bench

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.encodeToString
import org.quetzalloom.wire.WireFormat

private const val VERSIONS = 30
private const val WORKSPACES = 100

/**
 * Prints, as one line of JSON per fleet size, what the reducer of one VM costs in CPU time, memory and message sizes:
 * `slopes --sizes 10:27,100:270,400:2700`. Each size is a number of VMs and a number of backend servers.
 *
 * With `--policies` it prints the results of simulated version-selection policies instead.
 */
public fun main(arguments: Array<String>) {
    val parser = ArgParser("slopes")
    val sizes by parser.option(ArgType.String, description = "The fleet sizes, as VMs:replicas separated by commas")
        .default("10:27,10:270,100:270,400:270,100:2700,400:2700")
    val policies by parser.option(ArgType.Boolean, description = "Compare version-selection policies instead")
        .default(false)
    parser.parse(arguments)
    if (policies) printPolicyResults() else printFleetCosts(sizes)
}

private fun printFleetCosts(sizes: String) {
    sizes.split(',').map { parse(it) }.forEach { println(WireFormat.encodeToString(FleetBenchmark(it).measure())) }
}

private fun parse(text: String): FleetSize {
    val (vms, replicas) = text.split(':', limit = 2).map { it.toInt() }
    return FleetSize(vms = vms, replicas = replicas, versions = VERSIONS, workspaces = WORKSPACES)
}
