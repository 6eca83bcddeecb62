package org.quetzalloom.tool.operation

import org.quetzalloom.core.configuration.Configuration

/** Formats the differences between two configurations for operators. */
internal object ConfigurationDiff {
    /**
     * Returns a text for each entry that [new] adds (`+`), removes (`-`) or changes (`~`, with both values on lines of
     * their own). Without an [old] configuration, all entries are added. Roll-outs are not compared.
     *
     * A version that operators have withdrawn, or a backend server that they have drained, is shown as changed if the
     * [new] configuration does not say so, although publishing keeps it withdrawn or drained.
     */
    fun lines(old: Configuration?, new: Configuration): List<String> {
        val before = old ?: Configuration()
        return diffOf("zone", before.zones.associateWith { it !in before.zonesOutOfService }, zones(new, before)) +
            diffOf("version", before.versions, new.versions) +
            diffOf("workspace", before.workspaces, new.workspaces) +
            diffOf("backend server", before.backendServers, new.backendServers) +
            diffOf("service", services(before), services(new))
    }

    private fun services(configuration: Configuration) = configuration.services.associateBy { it.pathPrefix }

    /**
     * Returns whether each availability zone of [new] would be in service: publishing does not bring one back that is
     * out of service [before].
     */
    private fun zones(new: Configuration, before: Configuration) =
        new.zones.associateWith { it !in new.zonesOutOfService && it !in before.zonesOutOfService }

    private fun <K : Any, V : Any> diffOf(name: String, old: Map<K, V>, new: Map<K, V>): List<String> {
        val names = (old.keys + new.keys).sortedBy { it.toString() }
        return names.mapNotNull { key ->
            val before = old[key]
            val after = new[key]
            when {
                before == after -> null
                before == null -> "+ $name $key"
                after == null -> "- $name $key"
                else -> "~ $name $key\n    from $before\n    to   $after"
            }
        }
    }
}
