package org.quetzalloom.core.relay.session

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentSet
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.rollout.RolloutOrder
import org.quetzalloom.core.relay.rollout.RolloutProgress
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.router.bucketOf
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.time.Timestamp

private const val PER_THOUSAND = 1_000

/** A session is heavy from this number of requests to the new version on, if it sends more than a quarter of them. */
private const val MINIMUM_HEAVY_REQUESTS = 8
private const val HEAVY_PARTS = 4

/** Returns the short form of [session] in which routers tell each other of it. Others that share it change nothing. */
internal fun sessionHash(session: String): Int = stableHash("session", session).toInt()

/** Returns whether [subject] is in the sample of [share], from 0 to 1, which is the same at all routers. */
internal fun isSampled(subject: Any, share: Double): Boolean = bucketOf(subject, PER_THOUSAND) < share * PER_THOUSAND

/**
 * Returns whether [session] runs on the new version of [progress], which all routers decide alike.
 *
 * In the first part of a roll-out, only canary sessions do that no router has served on the old version; the other
 * sessions stay on the old version. Later it follows from the session and the stage of the roll-out alone, but for
 * canary sessions whose requests would be too large a part of the new version's.
 */
internal fun RelayState.usesNewVersion(progress: RolloutProgress, session: String, now: Timestamp): Boolean {
    val hash = sessionHash(session)
    val stage = progress.stage
    val pin = pins.pinOrNull(
        ServiceSession(progress.order.service, session),
        settings.sessionIdleTimeoutMilliseconds,
        now,
    )
    return when {
        stage.isLast -> true
        hash in progress.oldSessions && !stage.sessionsMove -> false
        hash in progress.heavySessions || isTooHeavy(progress, hash) -> false
        pin?.version == progress.order.version -> true
        stage.sessionsMove -> isSampled(session, stage.share)
        else -> stage.sessionsStart && isCanary(session)
    }
}

/** Returns whether [session] is one of the sessions that get a new version first, the same ones in each roll-out. */
private fun RelayState.isCanary(session: String): Boolean =
    isSampled(session, policies.exposure.share(elapsed = 0.0, limit = settings.exposureLimit))

/**
 * Returns whether the session of [hash] sends so much of what the new version of [progress] gets that it has to go back
 * to the old version. At most three sessions can each send more than a quarter.
 */
private fun RelayState.isTooHeavy(progress: RolloutProgress, hash: Int): Boolean {
    val requests = progress.newSessionRequests(hash)
    if (requests < MINIMUM_HEAVY_REQUESTS) return false
    val (old, new) = progress.allOld.answers to progress.allNew.answers
    return requests * HEAVY_PARTS > new && policies.exposure.isExcessive(old, new, settings.exposureLimit)
}

/**
 * Returns the state in which the roll-out of [service] knows that a request of [session] is sent to [version], if it is
 * a canary session. That one runs on an old version is told to the other routers at once.
 */
internal fun RelayState.noteCanarySession(service: ServiceName, session: String, version: String): RelayState {
    val progress = rollouts.byService[service]?.takeIf { it.open && !it.stage.isLast }
    if (progress == null || !isCanary(session)) return this
    val hash = sessionHash(session)
    val noted = when {
        version == progress.order.version -> progress.countSession(hash)
        hash !in progress.heavySessions && isTooHeavy(progress, hash) -> progress.returnToOld(hash)
        else -> progress.keepOnOld(hash)
    }
    return copy(rollouts = rollouts.with(noted))
}

/** Returns the canary sessions that are under way on an old version at this router when [order] is read. */
internal fun RelayState.canarySessionsOnOldVersions(order: RolloutOrder, now: Timestamp): PersistentSet<Int> {
    val timeToLive = settings.sessionIdleTimeoutMilliseconds
    val pinned = pins.bySession.entries
        .filter { (key, pin) -> key.service == order.service && pin.version != order.version }
        .filter { (_, pin) -> now - pin.usedAt <= timeToLive }
        .map { it.key.session }
    val inFlight = exchanges.byId.values
        .filter { it.service == order.service && it.attempt != null && it.attempt.version != order.version }
        .mapNotNull { it.request.session }
    return (pinned + inFlight).filter { isCanary(it) }.map { sessionHash(it) }.toPersistentSet()
}
