package org.quetzalloom.core.quarantine

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * What is held against one request.
 *
 * @property servers the backend servers that went down while they ran it.
 * @property trialBy the VM that runs it once more, or `null`.
 * @property trialAt the backend server that it runs at then, or `null` while that is not chosen.
 * @property trialSince when that was heard.
 * @property trialStamp the causal stamp of that news; what was said before it does not count.
 * @property notedBy the peers that agree to it.
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
    /** Whether the request is refused. */
    val quarantined: Boolean get() = servers.size >= CRASHES_TO_QUARANTINE

    private companion object {
        const val CRASHES_TO_QUARANTINE = 2
    }
}
