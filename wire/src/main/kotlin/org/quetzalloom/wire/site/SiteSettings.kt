package org.quetzalloom.wire.site

import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.router.RouterLimits
import org.quetzalloom.core.router.RouterSettings

/**
 * Returns the settings of the router on [vm]. Limits that the site does not set have the defaults of [RouterLimits].
 *
 * @param incarnation an identifier that is different after each start of the router.
 * @throws IllegalArgumentException if the site does not list [vm] or has no session secret.
 */
public fun Site.routerSettings(vm: VmId, incarnation: String): RouterSettings = RouterSettings(
    vm = vm,
    incarnation = incarnation,
    fleet = document.vms.associate { VmId(it.id) to AvailabilityZoneId(it.zone) }.toPersistentMap(),
    sessionSecret = document.fleet?.sessionSecret.orEmpty(),
    limits = (document.limits ?: LimitsDocument()).toLimits(),
)

private fun LimitsDocument.toLimits(): RouterLimits = overrideCountsAndShares(overrideTimesAndRates(RouterLimits()))

/** Returns [defaults] with the times and rates that this document sets. */
private fun LimitsDocument.overrideTimesAndRates(defaults: RouterLimits): RouterLimits {
    return defaults.copy(
        stalenessMilliseconds = stalenessMilliseconds ?: defaults.stalenessMilliseconds,
        readIntervalMilliseconds = readIntervalMilliseconds ?: defaults.readIntervalMilliseconds,
        appendsPerSecond = appendsPerSecond ?: defaults.appendsPerSecond,
        gossipIntervalMilliseconds = gossipIntervalMilliseconds ?: defaults.gossipIntervalMilliseconds,
        loadIntervalMilliseconds = loadIntervalMilliseconds ?: defaults.loadIntervalMilliseconds,
        firstTokenMilliseconds = firstTokenMilliseconds ?: defaults.firstTokenMilliseconds,
        tokenGapMilliseconds = tokenGapMilliseconds ?: defaults.tokenGapMilliseconds,
        serviceSilenceMilliseconds = serviceSilenceMilliseconds ?: defaults.serviceSilenceMilliseconds,
        commandMemoryMilliseconds = commandMemoryMilliseconds ?: defaults.commandMemoryMilliseconds,
        snapshotIntervalMilliseconds = snapshotIntervalMilliseconds ?: defaults.snapshotIntervalMilliseconds,
        drainGraceMilliseconds = drainGraceMilliseconds ?: defaults.drainGraceMilliseconds,
    )
}

/** Returns [defaults] with the counts and shares that this document sets. */
private fun LimitsDocument.overrideCountsAndShares(defaults: RouterLimits): RouterLimits = defaults.copy(
    activeRequests = activeRequests ?: defaults.activeRequests,
    triesPerRequest = triesPerRequest ?: defaults.triesPerRequest,
    sampleShare = sampleShare ?: defaults.sampleShare,
)
