package org.quetzalloom.wire.site

import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.router.RouterLimits
import org.quetzalloom.core.router.RouterSettings

/**
 * Returns the settings of the router on [vm].
 *
 * @param incarnation differs after each start.
 * @throws IllegalArgumentException if the site does not list [vm] or has no session secret.
 */
public fun Site.routerSettings(vm: VmId, incarnation: String): RouterSettings = RouterSettings(
    vm = vm,
    incarnation = incarnation,
    fleet = document.vms.associate { VmId(it.id) to AvailabilityZoneId(it.zone) }.toPersistentMap(),
    sessionSecret = document.fleet?.sessionSecret.orEmpty(),
    limits = (document.limits ?: LimitsDocument()).toLimits(),
)

private fun LimitsDocument.toLimits(): RouterLimits = counts(times(RouterLimits()))

private fun LimitsDocument.times(usual: RouterLimits): RouterLimits {
    return usual.copy(
        stalenessMilliseconds = stalenessMilliseconds ?: usual.stalenessMilliseconds,
        readIntervalMilliseconds = readIntervalMilliseconds ?: usual.readIntervalMilliseconds,
        appendsPerSecond = appendsPerSecond ?: usual.appendsPerSecond,
        gossipIntervalMilliseconds = gossipIntervalMilliseconds ?: usual.gossipIntervalMilliseconds,
        loadIntervalMilliseconds = loadIntervalMilliseconds ?: usual.loadIntervalMilliseconds,
        firstTokenMilliseconds = firstTokenMilliseconds ?: usual.firstTokenMilliseconds,
        tokenGapMilliseconds = tokenGapMilliseconds ?: usual.tokenGapMilliseconds,
        serviceSilenceMilliseconds = serviceSilenceMilliseconds ?: usual.serviceSilenceMilliseconds,
        commandMemoryMilliseconds = commandMemoryMilliseconds ?: usual.commandMemoryMilliseconds,
        snapshotIntervalMilliseconds = snapshotIntervalMilliseconds ?: usual.snapshotIntervalMilliseconds,
        drainGraceMilliseconds = drainGraceMilliseconds ?: usual.drainGraceMilliseconds,
    )
}

private fun LimitsDocument.counts(usual: RouterLimits): RouterLimits = usual.copy(
    activeRequests = activeRequests ?: usual.activeRequests,
    triesPerRequest = triesPerRequest ?: usual.triesPerRequest,
    sampleShare = sampleShare ?: usual.sampleShare,
)
