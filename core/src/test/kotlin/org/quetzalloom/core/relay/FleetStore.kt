package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedProblem
import org.quetzalloom.core.relay.feed.FeedRecord
import org.quetzalloom.core.relay.feed.RecordContent
import org.quetzalloom.core.time.Timestamp

/**
 * The platform's store of a [RelayFleet]: feeds with waiting reads, and the group of routers.
 *
 * @param isCut returns whether nothing arrives from one router at another.
 * @param deliver delivers a response to a router, after at least the given number of milliseconds.
 */
internal class FleetStore(
    private val isCut: (VmId, VmId) -> Boolean = { _, _ -> false },
    private val deliver: (VmId, RelayEvent, Long) -> Unit,
) {
    private class Read(val vm: VmId, val effect: RelayEffect.ReadFeed, val until: Timestamp)

    private class Silence(val vm: VmId, val event: RelayEvent, val until: Timestamp)

    private class HeldRead(val read: Read, val failsAt: Timestamp)

    /** The routers through which others call the store, by the caller. */
    val paths: MutableMap<VmId, VmId> = mutableMapOf()

    /** The routers that the store refuses, and those whose calls or responses are lost. */
    val refused: MutableSet<VmId> = mutableSetOf()
    val silentTo: MutableSet<VmId> = mutableSetOf()
    var isDown = false

    /** The size of a configuration that is written from now on. */
    var configurationBytes = 0
    var responseMilliseconds = 0L

    /** Returns by how many milliseconds each response to a router is delayed. */
    var lateness: (VmId) -> Long = { 0 }

    /**
     * Whether reads from an offset get no response, while the newest records are still given. At the end of this the
     * history of the feeds is dropped, so that these reads fail as expired.
     */
    var holdsReads = false
        set(value) {
            if (value && !field) holdWaitingReads()
            if (!value && field) dropHistory()
            field = value
        }

    /** The calls so far without joins, refused ones included, and the joins. */
    var calls = 0
        private set
    var joins = 0
        private set
    val callsByVm: MutableMap<VmId, Int> = mutableMapOf()

    private val logs = Feed.entries.associateWith { mutableListOf<FeedRecord>() }
    private val reads = mutableListOf<Read>()
    private val silences = mutableListOf<Silence>()
    private val heldReads = mutableListOf<HeldRead>()
    private val firstOffsets = Feed.entries.associateWith { 0L }.toMutableMap()
    private val expiries = sortedMapOf<VmId, Timestamp>()
    private var generation = 0L

    /** Rises each time the store comes back from an older copy; 0 if it is not told. */
    var era = 1L

    val leader: VmId get() = expiries.firstKey()

    fun endOf(feed: Feed): Long = logs.getValue(feed).size.toLong()

    fun write(feed: Feed, entries: List<FeedEntry>) {
        val log = logs.getValue(feed)
        entries.forEach { log += FeedRecord(it.key(), log.size.toLong(), it.content(log.size), it) }
        val woken = if (holdsReads) emptyList() else reads.filter { it.effect.feed == feed }
        reads.removeAll(woken)
        woken.forEach { respondOrLose(it) }
    }

    fun read(vm: VmId, effect: RelayEffect.ReadFeed, now: Timestamp) {
        count(vm)
        val from = effect.from
        val failure = effect.failure("refused")
        when {
            fails(vm, failure, now + effect.waitMilliseconds + CALL_TIMEOUT) -> Unit
            from != null && from < firstOffsets.getValue(effect.feed) -> respondExpired(vm, effect)
            from != null && from > endOf(effect.feed) -> respondExpired(vm, effect)
            from != null && holdsReads -> hold(Read(vm, effect, now + effect.waitMilliseconds))
            from == null || endOf(effect.feed) > from || effect.waitMilliseconds == 0L -> respond(vm, effect)
            else -> reads += Read(vm, effect, now + effect.waitMilliseconds)
        }
    }

    fun list(vm: VmId, effect: RelayEffect.ListMembers, now: Timestamp) {
        count(vm)
        if (fails(vm, RelayEvent.GroupFailed("refused"), now + CALL_TIMEOUT)) return
        val addresses = expiries.keys.associateWith { "$it:70" }
        deliver(vm, RelayEvent.MembersListed(effect.generation, addresses), responseMilliseconds + lateness(vm))
    }

    fun join(vm: VmId, effect: RelayEffect.JoinGroup, now: Timestamp) {
        joins++
        if (fails(vm, RelayEvent.GroupFailed("refused"), now + CALL_TIMEOUT)) return
        if (expiries.put(vm, now + effect.timeToLiveMilliseconds) == null) generation++
        val joined = RelayEvent.GroupJoined(generation, isLeader = vm == leader, sentAt = effect.sentAt, era = era)
        deliver(vm, joined, responseMilliseconds + lateness(vm))
    }

    /** Drops the calls of [vm] that are under way, as its connections end with its process. */
    fun forget(vm: VmId) {
        paths.remove(vm)
        reads.removeAll { it.vm == vm }
        heldReads.removeAll { it.read.vm == vm }
        silences.removeAll { it.vm == vm }
    }

    /** Ends the waits, and the memberships that were not renewed; both pause while the store is down. */
    fun expire(now: Timestamp) {
        val gone = if (isDown) emptySet() else expiries.filterValues { now > it }.keys.toSet()
        if (gone.isNotEmpty()) generation++
        expiries.keys.removeAll(gone)
        val due = reads.filter { it.until <= now }
        reads.removeAll(due)
        due.forEach { respondOrLose(it) }
        val silent = silences.filter { it.until <= now }
        silences.removeAll(silent)
        silent.forEach { deliver(it.vm, it.event, 0) }
        val heldTooLong = heldReads.filter { it.failsAt <= now }
        heldReads.removeAll(heldTooLong)
        heldTooLong.forEach { deliver(it.read.vm, it.read.effect.failure("silent"), 0) }
    }

    private fun holdWaitingReads() {
        reads.forEach { hold(it) }
        reads.clear()
    }

    private fun hold(read: Read) {
        heldReads += HeldRead(read, failsAt = read.until + CALL_TIMEOUT)
    }

    private fun dropHistory() {
        listOf(Feed.ORDERS, Feed.SERVERS).forEach { firstOffsets[it] = endOf(it) }
        val (dropped, kept) = heldReads.partition {
            it.read.effect.from.let { from -> from != null && from < firstOffsets.getValue(it.read.effect.feed) }
        }
        heldReads.clear()
        reads += kept.map { it.read }
        dropped.map { it.read }.forEach {
            if (isSilentTo(it.vm)) {
                silences += Silence(it.vm, it.effect.failure("silent"), it.until + CALL_TIMEOUT)
            } else {
                respondExpired(it.vm, it.effect)
            }
        }
    }

    private fun respondExpired(vm: VmId, effect: RelayEffect.ReadFeed) {
        deliver(vm, effect.failure("refused").expired(), responseMilliseconds + lateness(vm))
    }

    private fun RelayEffect.ReadFeed.failure(detail: String) =
        RelayEvent.FeedFailed(feed, FeedProblem.UNAVAILABLE, detail, number = number)

    /** Answers a read that has waited; the response is lost if its router has been cut off meanwhile. */
    private fun respondOrLose(read: Read) {
        val effect = read.effect
        val failure = effect.failure("silent")
        if (isSilentTo(read.vm)) {
            silences += Silence(read.vm, failure, read.until + CALL_TIMEOUT)
        } else {
            respond(read.vm, effect)
        }
    }

    /** Returns what [rewind] needs to return to the present state. */
    fun ends(): Map<Feed, Long> = Feed.entries.associateWith { endOf(it) }

    /** Returns to the state at [ends], as a store that comes back from an older copy. Reads that wait fail. */
    fun rewind(ends: Map<Feed, Long>) {
        if (era > 0) era++
        ends.forEach { (feed, end) -> logs.getValue(feed).run { subList(end.toInt(), size).clear() } }
        ends.forEach { (feed, end) -> firstOffsets.computeIfPresent(feed) { _, first -> minOf(first, end) } }
        val broken = reads.toList()
        reads.clear()
        broken.forEach {
            val feed = it.effect.feed
            deliver(it.vm, RelayEvent.FeedFailed(feed, FeedProblem.UNAVAILABLE, "reset", number = it.effect.number), 0)
        }
    }

    private fun RelayEvent.FeedFailed.expired(): RelayEvent =
        copy(problem = FeedProblem.EXPIRED, detail = "gone", era = this@FleetStore.era)

    private fun isSilentTo(vm: VmId): Boolean {
        val path = paths[vm] ?: vm
        return path in silentTo || path != vm && (isCut(vm, path) || isCut(path, vm))
    }

    private fun count(vm: VmId) {
        calls++
        callsByVm.merge(vm, 1, Int::plus)
    }

    private fun fails(vm: VmId, failure: RelayEvent, timeout: Timestamp): Boolean {
        val silent = isSilentTo(vm)
        val refuses = isDown || (paths[vm] ?: vm) in refused
        when {
            silent -> silences += Silence(vm, failure, timeout)
            refuses -> deliver(vm, failure, 0)
        }
        return refuses || silent
    }

    private fun respond(vm: VmId, effect: RelayEffect.ReadFeed) {
        val log = logs.getValue(effect.feed)
        val records = effect.from?.let { log.drop(it.toInt()) }
            ?: log.associateBy { it.key }.values.filter { it.content != null }
        val event = RelayEvent.FeedRead(
            feed = effect.feed,
            entries = records.mapNotNull { it.entry },
            nextOffset = log.size.toLong(),
            snapshot = effect.from == null,
            records = records,
            number = effect.number,
            era = era,
        )
        deliver(vm, event, responseMilliseconds + lateness(vm))
    }

    private fun FeedEntry.key(): String = when (this) {
        is FeedEntry.Configuration -> "config"
        is FeedEntry.Evacuation -> "evacuate/$zone"
        is FeedEntry.Rollout -> "rollout/${order.service}"
        is FeedEntry.RolloutRemoved -> "rollout/$service"
        is FeedEntry.RolloutStatus -> "rollout/$service"
        is FeedEntry.Server -> listing.id.value
        is FeedEntry.ServerRemoved -> id.value
        is FeedEntry.Unreadable -> key
    }

    private fun FeedEntry.content(number: Int): RecordContent? = when (this) {
        is FeedEntry.ServerRemoved, is FeedEntry.RolloutRemoved -> null
        is FeedEntry.Evacuation -> if (active) RecordContent("$number".toByteArray()) else null
        is FeedEntry.Configuration -> RecordContent("$number".padEnd(configurationBytes).toByteArray())
        else -> RecordContent("$number".toByteArray())
    }

    private companion object {
        const val CALL_TIMEOUT = 900L
    }
}
