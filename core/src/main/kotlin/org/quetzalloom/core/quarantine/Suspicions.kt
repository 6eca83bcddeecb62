package org.quetzalloom.core.quarantine

import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.request.Fingerprint
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.time.Timestamp

/** Returns the state with the crash of [server] added to the suspicion against [fingerprint]. */
internal fun RouterState.withCrash(fingerprint: Fingerprint, server: BackendServerId, now: Timestamp): RouterState {
    val previous = quarantine.suspicions[fingerprint] ?: Suspicion(servers = persistentSetOf(), suspectedAt = now)
    return withSuspicion(fingerprint, previous.copy(servers = previous.servers.add(server), suspectedAt = now))
}

/**
 * Returns the state in which [vm] runs the trial of [fingerprint] at [trialServer].
 *
 * It is unchanged if there is no suspicion, or if [newStamp] is older than the stamp of the trial known.
 *
 * @param vm the VM, or `null` to end the trial.
 * @param trialServer the backend server, or `null` while none is chosen.
 * @param newStamp the causal stamp of the message that announced the trial; by default that of this VM.
 */
internal fun RouterState.withTrial(
    fingerprint: Fingerprint,
    vm: VmId?,
    trialServer: BackendServerId?,
    now: Timestamp,
    newStamp: Long = stamp,
): RouterState {
    val suspicion = quarantine.suspicions[fingerprint]
    if (suspicion == null || newStamp < suspicion.trialStamp) return this
    val next = suspicion.copy(
        trialVm = vm,
        trialServer = trialServer,
        trialSince = now,
        trialStamp = newStamp,
        agreedBy = persistentSetOf(),
    )
    return withSuspicion(fingerprint, next)
}

/** Returns the state without a suspicion against [fingerprint]. */
internal fun RouterState.withoutSuspicion(fingerprint: Fingerprint): RouterState =
    copy(quarantine = quarantine.copy(suspicions = quarantine.suspicions.remove(fingerprint)))

/** Returns the state with [suspicion] as the one against [fingerprint]. */
internal fun RouterState.withSuspicion(fingerprint: Fingerprint, suspicion: Suspicion): RouterState =
    copy(quarantine = quarantine.copy(suspicions = quarantine.suspicions.put(fingerprint, suspicion)))

/** Returns whether another VM has [fingerprint] on trial at [now]. */
internal fun RouterState.isOnTrialElsewhere(fingerprint: Fingerprint, now: Timestamp): Boolean {
    val suspicion = quarantine.suspicions[fingerprint]
    return suspicion != null && isOnTrial(suspicion, now) && suspicion.trialVm != settings.vm
}

/** Returns the backend servers at which any VM has a request other than that of [fingerprint] on trial. */
internal fun RouterState.otherTrialServers(fingerprint: Fingerprint, now: Timestamp): Set<BackendServerId> =
    quarantine.suspicions.filterKeys { it != fingerprint }.values
        .filter { isOnTrial(it, now) }
        .mapNotNull { it.trialServer }
        .toSet()

/** Returns whether the trial of [suspicion] is in progress: undecided, and younger than `trialTimeoutMilliseconds`. */
private fun RouterState.isOnTrial(suspicion: Suspicion, now: Timestamp): Boolean =
    suspicion.trialVm != null &&
        !suspicion.quarantined &&
        now - suspicion.trialSince < settings.limits.trialTimeoutMilliseconds
