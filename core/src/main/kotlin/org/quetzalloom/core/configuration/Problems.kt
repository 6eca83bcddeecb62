package org.quetzalloom.core.configuration

import org.quetzalloom.core.identity.VersionId

/**
 * Returns a message for the operator about each problem of this configuration; empty if it is valid.
 *
 * @param fleetSize the number of entry VMs (VMs that run a router), or `null` if it is not known; the combined cold
 *   capacity is then not checked.
 */
public fun Configuration.problems(fleetSize: Int? = null): List<String> =
    workspaceProblems() + serverProblems() + serviceProblems() + rolloutProblems() + fleetProblems(fleetSize)

private fun Configuration.workspaceProblems(): List<String> = workspaces.values.sortedBy {
    it.id
}.flatMap { workspace ->
    val unknown = workspace.allowed.sorted().filter { it !in versions }
        .map { "workspace '${workspace.id}' allows version '$it', which does not exist" }
    val notServed = workspace.allowed.sorted().filter { it in versions && !isServed(it) }
        .map { "workspace '${workspace.id}' allows version '$it', which no backend server serves" }
    val qualityTarget = if (workspace.qualityTarget in 0.0..1.0) {
        emptyList()
    } else {
        listOf(
            "workspace '${workspace.id}' has quality_target ${workspace.qualityTarget}, which is not in 0.0..1.0"
        )
    }
    unknown + notServed + qualityTarget
}

private fun Configuration.isServed(version: VersionId): Boolean =
    backendServers.values.any { version in it.versions }

private fun Configuration.serverProblems(): List<String> = backendServers.values.sortedBy { it.id }.flatMap { server ->
    val name = "backend server '${server.id}'"
    listOfNotNull(
        "$name is in availability zone '${server.zone}', which does not exist".takeIf { server.zone !in zones },
        "$name has cold_capacity ${server.coldCapacity}, which is not between 1 and its capacity ${server.capacity}"
            .takeIf { server.coldCapacity !in 1..server.capacity },
        "$name has warm_up_milliseconds ${server.warmUpMilliseconds}, which is below 0"
            .takeIf { server.warmUpMilliseconds < 0 },
        "$name serves no version".takeIf { server.versions.isEmpty() },
    ) + server.versions.sorted().filter { it !in versions }
        .map { "$name serves version '$it', which does not exist" }
}

private fun Configuration.serviceProblems(): List<String> = services.flatMap { route ->
    listOfNotNull(
        "service path '${route.pathPrefix}' must start with '/'".takeIf { !route.pathPrefix.startsWith("/") },
        "service path '${route.pathPrefix}' routes to '${route.model}', which has no version of kind service"
            .takeIf { versions.values.none { it.model == route.model && it.kind == VersionKind.SERVICE } },
    )
}

private fun Configuration.rolloutProblems(): List<String> = rollouts.values.sortedBy { it.to }.mapNotNull { rollout ->
    "the roll-out from '${rollout.from}' to '${rollout.to}' needs active versions of one model and a share of 0 to 1000"
        .takeIf { applyOrNull(ConfigurationChange.SetRollout(rollout)) == null }
}

/**
 * Checks, for each group of backend servers that serve the same versions, that their cold capacities add up to at least
 * one request per VM. A backend server is assigned to at most as many VMs as its cold capacity, so otherwise some VM
 * would have no backend server of the group.
 */
private fun Configuration.fleetProblems(fleetSize: Int?): List<String> {
    if (fleetSize == null) return emptyList()
    val pools = backendServers.values.groupBy { it.versions.sorted() }
    return pools.entries.mapNotNull { (served, servers) ->
        val coldCapacity = servers.sumOf { it.coldCapacity }
        "the backend servers of $served have a combined cold_capacity of $coldCapacity, below the $fleetSize entry VMs"
            .takeIf { coldCapacity < fleetSize }
    }
}
