package org.quetzalloom.core.quarantine

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * The suspicion that requests with a certain content crash backend servers, and their trial.
 *
 * @property servers the backend servers that went down while they ran such a request.
 * @property suspectedAt the time at which this VM last learned of a crash.
 * @property trialVm the VM that runs the request once more, or `null` without a trial.
 * @property trialServer the backend server of the trial, or `null` while none is chosen.
 * @property trialSince the time at which this VM learned of the trial; the trial expires some time after it.
 * @property trialStamp the causal stamp at which the trial was last announced or ended; messages with an earlier stamp
 *   do not change it.
 * @property agreedBy the peers that agree to the trial.
 */
internal data class Suspicion(
    val servers: PersistentSet<BackendServerId>,
    val suspectedAt: Timestamp,
    val trialVm: VmId? = null,
    val trialServer: BackendServerId? = null,
    val trialSince: Timestamp = suspectedAt,
    val trialStamp: Long = 0,
    val agreedBy: PersistentSet<VmId> = persistentSetOf(),
) {
    /** Whether such requests are refused, since [CRASHES_TO_QUARANTINE] different backend servers have gone down. */
    val quarantined: Boolean get() = servers.size >= CRASHES_TO_QUARANTINE

    private companion object {
        const val CRASHES_TO_QUARANTINE = 2
    }
}
