package org.quetzalloom.core.relay.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * What this router knows of one roll-out.
 *
 * @property firstSeenAt when the order was first read by this router, or by another one that reported an earlier time.
 * @property phase the phase in the store, or `null` while none is known.
 * @property unconfirmed whether [phase] has not been read or written since the store came back from an older copy.
 * @property old the outcomes of the old versions at this router.
 * @property new the outcomes of the new version at this router.
 * @property peerOutcomes the outcomes that the other routers have reported last.
 * @property condemned whether this router or another one has found the new version to be bad.
 * @property proposal this router's latest proposal to complete the roll-out, or `null` if it made none.
 * @property agreement this router's latest agreement to complete the roll-out, or `null` if it gave none.
 * @property stage how far the roll-out has come; it is entered by the clock or a report of another router.
 * @property heardAgeMilliseconds the highest age of the roll-out that another router has reported.
 * @property oldSessions the hashes of the canary sessions that any router has served on an old version.
 * @property heavySessions the hashes of the canary sessions that went back to the old version, as they sent too much of
 *   what the new version got.
 * @property newSessions the requests of each canary session, by its hash, that this router has sent to the new version.
 * @property noticeDue whether the other routers have to be told of a change at once.
 * @property writing whether a status is being written.
 * @property writeDueAt the earliest time to write the next status.
 */
internal data class RolloutProgress(
    val order: RolloutOrder,
    val firstSeenAt: Timestamp,
    val phase: RolloutPhase? = null,
    val unconfirmed: Boolean = false,
    val old: OutcomeSums = OutcomeSums(),
    val new: OutcomeSums = OutcomeSums(),
    val peerOutcomes: PersistentMap<VmId, PeerOutcomes> = persistentMapOf(),
    val condemned: Boolean = false,
    val proposal: CompletionProposal? = null,
    val agreement: CompletionAgreement? = null,
    val stage: RolloutStage = RolloutStage(),
    val heardAgeMilliseconds: Long = 0,
    val oldSessions: PersistentSet<Int> = persistentSetOf(),
    val heavySessions: PersistentSet<Int> = persistentSetOf(),
    val newSessions: PersistentMap<Int, Int> = persistentMapOf(),
    val noticeDue: Boolean = false,
    val writing: Boolean = false,
    val writeDueAt: Timestamp = Timestamp.EPOCH,
) {
    /** Whether the roll-out is neither completed nor reverted. */
    val open: Boolean get() = phase == null || phase == RolloutPhase.IN_PROGRESS

    /** The outcomes of the old versions at this router and all routers that have reported theirs. */
    val allOld: OutcomeSums get() = peerOutcomes.values.fold(old) { sums, outcomes -> sums + outcomes.old }

    /** The outcomes of the new version at this router and all routers that have reported theirs. */
    val allNew: OutcomeSums get() = peerOutcomes.values.fold(new) { sums, outcomes -> sums + outcomes.new }

    /** Returns the progress with [change] applied to this router's outcomes of [version]. */
    fun record(version: String, change: (OutcomeSums) -> OutcomeSums): RolloutProgress =
        if (version == order.version) copy(new = change(new)) else copy(old = change(old))

    /** Returns the time since the order in milliseconds, as far as this router or another one that it heard knows. */
    fun ageMilliseconds(now: Timestamp): Long = maxOf(now - firstSeenAt, heardAgeMilliseconds)

    /**
     * Returns the progress in [stage]. The first router that enters a stage tells the others at once, so that no
     * session meets a router that is a stage behind.
     */
    fun enter(stage: RolloutStage): RolloutProgress =
        if (stage == this.stage) this else copy(stage = stage, noticeDue = true)

    /** Returns the progress with one more request of the canary session [hash] sent to the new version. */
    fun countSession(hash: Int): RolloutProgress {
        val count = (newSessions[hash] ?: 0) + 1
        return copy(newSessions = newSessions.put(hash, count))
    }

    /** Returns the progress that knows that the canary session [hash] runs on an old version. */
    fun keepOnOld(hash: Int): RolloutProgress =
        if (hash in oldSessions) this else copy(oldSessions = oldSessions.add(hash), noticeDue = true)

    /** Returns the progress in which the canary session [hash] goes back to the old version until the last stage. */
    fun returnToOld(hash: Int): RolloutProgress =
        keepOnOld(hash).copy(heavySessions = heavySessions.add(hash), noticeDue = true)

    /** Returns the requests of the canary session [hash] that all routers have sent to the new version. */
    fun newSessionRequests(hash: Int): Int =
        (newSessions[hash] ?: 0) + peerOutcomes.values.sumOf { it.newSessions[hash] ?: 0 }

    /** Returns whether this router must not condemn the new version at [now]: it has agreed to the completion. */
    fun isBoundByAgreement(now: Timestamp): Boolean = agreement?.isInForce(now) ?: false

    /** Returns whether a status may be written at [now]: no other write is under way or has just ended. */
    fun mayWrite(now: Timestamp): Boolean = !writing && now >= writeDueAt
}
