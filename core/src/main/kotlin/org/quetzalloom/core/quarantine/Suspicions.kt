package org.quetzalloom.core.quarantine

import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.request.Fingerprint
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.time.Timestamp

/** Returns the state after the request of [fingerprint] took down [server]. */
internal fun RouterState.suspected(fingerprint: Fingerprint, server: BackendServerId, now: Timestamp): RouterState {
    val known = quarantine.suspicions[fingerprint] ?: Suspicion(servers = persistentSetOf(), at = now)
    return withSuspicion(fingerprint, known.copy(servers = known.servers.add(server), at = now))
}

/** Returns the state in which [by] tries the request of [fingerprint] once more, at the backend server [at]. */
internal fun RouterState.withTrial(
    fingerprint: Fingerprint,
    by: VmId?,
    at: BackendServerId?,
    now: Timestamp,
    stampOfNews: Long = stamp,
): RouterState {
    val known = quarantine.suspicions[fingerprint]
    if (known == null || stampOfNews < known.trialStamp) return this
    val next = known.copy(
        trialBy = by,
        trialAt = at,
        trialSince = now,
        trialStamp = stampOfNews,
        notedBy = persistentSetOf(),
    )
    return withSuspicion(fingerprint, next)
}

/** Returns the state in which nothing is held against the request of [fingerprint]. */
internal fun RouterState.cleared(fingerprint: Fingerprint): RouterState =
    copy(quarantine = quarantine.copy(suspicions = quarantine.suspicions.remove(fingerprint)))

internal fun RouterState.withSuspicion(fingerprint: Fingerprint, suspicion: Suspicion): RouterState =
    copy(quarantine = quarantine.copy(suspicions = quarantine.suspicions.put(fingerprint, suspicion)))

/** Returns whether another VM tries the suspected request of [fingerprint] at this time. */
internal fun RouterState.isTriedElsewhere(fingerprint: Fingerprint, now: Timestamp): Boolean {
    val suspicion = quarantine.suspicions[fingerprint]
    return suspicion != null && isUnderTrial(suspicion, now) && suspicion.trialBy != settings.vm
}

/** Returns the backend servers at which any VM tries a suspected request other than that of [fingerprint]. */
internal fun RouterState.trialServers(fingerprint: Fingerprint, now: Timestamp): Set<BackendServerId> =
    quarantine.suspicions.filterKeys { it != fingerprint }.values
        .filter { isUnderTrial(it, now) }
        .mapNotNull { it.trialAt }
        .toSet()

private fun RouterState.isUnderTrial(suspicion: Suspicion, now: Timestamp): Boolean =
    suspicion.trialBy != null &&
        !suspicion.condemned &&
        now - suspicion.trialSince < settings.limits.trialTimeoutMilliseconds
