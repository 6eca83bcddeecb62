package org.quetzalloom.core.quarantine

import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.request.Fingerprint
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.time.Timestamp

/** Returns the state after the request of [fingerprint] took down [server]. */
internal fun RouterState.withCrash(fingerprint: Fingerprint, server: BackendServerId, now: Timestamp): RouterState {
    val known = quarantine.suspicions[fingerprint] ?: Suspicion(servers = persistentSetOf(), suspectedAt = now)
    return withSuspicion(fingerprint, known.copy(servers = known.servers.add(server), suspectedAt = now))
}

/** Returns the state in which [vm] tries the request of [fingerprint] once more, at [trialServer]. */
internal fun RouterState.withTrial(
    fingerprint: Fingerprint,
    vm: VmId?,
    trialServer: BackendServerId?,
    now: Timestamp,
    newStamp: Long = stamp,
): RouterState {
    val known = quarantine.suspicions[fingerprint]
    if (known == null || newStamp < known.trialStamp) return this
    val next = known.copy(
        trialVm = vm,
        trialServer = trialServer,
        trialSince = now,
        trialStamp = newStamp,
        agreedBy = persistentSetOf(),
    )
    return withSuspicion(fingerprint, next)
}

/** Returns the state in which nothing is held against the request of [fingerprint]. */
internal fun RouterState.withoutSuspicion(fingerprint: Fingerprint): RouterState =
    copy(quarantine = quarantine.copy(suspicions = quarantine.suspicions.remove(fingerprint)))

internal fun RouterState.withSuspicion(fingerprint: Fingerprint, suspicion: Suspicion): RouterState =
    copy(quarantine = quarantine.copy(suspicions = quarantine.suspicions.put(fingerprint, suspicion)))

/** Returns whether another VM tries the suspected request of [fingerprint] at this time. */
internal fun RouterState.isOnTrialElsewhere(fingerprint: Fingerprint, now: Timestamp): Boolean {
    val suspicion = quarantine.suspicions[fingerprint]
    return suspicion != null && isOnTrial(suspicion, now) && suspicion.trialVm != settings.vm
}

/** Returns the backend servers at which any VM tries a suspected request other than that of [fingerprint]. */
internal fun RouterState.otherTrialServers(fingerprint: Fingerprint, now: Timestamp): Set<BackendServerId> =
    quarantine.suspicions.filterKeys { it != fingerprint }.values
        .filter { isOnTrial(it, now) }
        .mapNotNull { it.trialServer }
        .toSet()

private fun RouterState.isOnTrial(suspicion: Suspicion, now: Timestamp): Boolean =
    suspicion.trialVm != null &&
        !suspicion.quarantined &&
        now - suspicion.trialSince < settings.limits.trialMilliseconds
