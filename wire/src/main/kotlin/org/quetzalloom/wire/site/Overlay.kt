package org.quetzalloom.wire.site

/**
 * Returns this document with the values that [overlay] sets replaced by those of [overlay].
 *
 * An entry of a list is replaced as a whole by the overlay's entry of the same name: the identifier, the path prefix of
 * a service, or the new version of a roll-out.
 */
public fun SiteDocument.overlaidBy(overlay: SiteDocument): SiteDocument = SiteDocument(
    platform = platform.overlaidBy(overlay.platform) { base, top ->
        PlatformDocument(log = top.log ?: base.log, vms = top.vms ?: base.vms, ratings = top.ratings ?: base.ratings)
    },
    fleet = fleet.overlaidBy(overlay.fleet) { base, top -> base.overlaidBy(top) },
    limits = limits.overlaidBy(overlay.limits) { base, top -> base.overlaidBy(top) },
    vms = vms.overlaidBy(overlay.vms) { it.id },
    zones = zones.overlaidBy(overlay.zones) { it.id },
    versions = versions.overlaidBy(overlay.versions) { it.id },
    workspaces = workspaces.overlaidBy(overlay.workspaces) { it.id },
    backendServers = backendServers.overlaidBy(overlay.backendServers) { it.id },
    services = services.overlaidBy(overlay.services) { it.pathPrefix },
    rollouts = rollouts.overlaidBy(overlay.rollouts) { it.to },
)

private fun FleetDocument.overlaidBy(top: FleetDocument): FleetDocument = FleetDocument(
    sessionSecret = top.sessionSecret ?: sessionSecret,
    largestBodyBytes = top.largestBodyBytes ?: largestBodyBytes,
    defaultTimeoutMilliseconds = top.defaultTimeoutMilliseconds ?: defaultTimeoutMilliseconds,
)

private fun LimitsDocument.overlaidBy(top: LimitsDocument): LimitsDocument =
    timesAndRatesOverlaidBy(top).withCountsAndSharesOf(base = this, top = top)

private fun LimitsDocument.timesAndRatesOverlaidBy(top: LimitsDocument): LimitsDocument = LimitsDocument(
    stalenessMilliseconds = top.stalenessMilliseconds ?: stalenessMilliseconds,
    readIntervalMilliseconds = top.readIntervalMilliseconds ?: readIntervalMilliseconds,
    appendsPerSecond = top.appendsPerSecond ?: appendsPerSecond,
    gossipIntervalMilliseconds = top.gossipIntervalMilliseconds ?: gossipIntervalMilliseconds,
    loadIntervalMilliseconds = top.loadIntervalMilliseconds ?: loadIntervalMilliseconds,
    firstTokenMilliseconds = top.firstTokenMilliseconds ?: firstTokenMilliseconds,
    tokenGapMilliseconds = top.tokenGapMilliseconds ?: tokenGapMilliseconds,
    serviceSilenceMilliseconds = top.serviceSilenceMilliseconds ?: serviceSilenceMilliseconds,
    commandMemoryMilliseconds = top.commandMemoryMilliseconds ?: commandMemoryMilliseconds,
    snapshotIntervalMilliseconds = top.snapshotIntervalMilliseconds ?: snapshotIntervalMilliseconds,
    drainGraceMilliseconds = top.drainGraceMilliseconds ?: drainGraceMilliseconds,
)

private fun LimitsDocument.withCountsAndSharesOf(base: LimitsDocument, top: LimitsDocument): LimitsDocument = copy(
    activeRequests = top.activeRequests ?: base.activeRequests,
    triesPerRequest = top.triesPerRequest ?: base.triesPerRequest,
    sampleShare = top.sampleShare ?: base.sampleShare,
)

private fun <T : Any> T?.overlaidBy(top: T?, merge: (T, T) -> T): T? =
    if (this != null && top != null) merge(this, top) else top ?: this

/** Replaces entries by those of [top] with the same name, in place, and appends the others of [top]. */
private fun <T : Any> List<T>.overlaidBy(top: List<T>, name: (T) -> String): List<T> {
    val replacements = top.associateBy(name)
    val names = map(name).toSet()
    return map { replacements[name(it)] ?: it } + top.filter { name(it) !in names }
}
