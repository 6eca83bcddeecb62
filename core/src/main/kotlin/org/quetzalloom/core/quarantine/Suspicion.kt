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
 * @property trialSince when that was heard.
 * @property notedBy the peers that know of it.
 */
internal data class Suspicion(
    val servers: PersistentSet<BackendServerId>,
    val at: Timestamp,
    val trialBy: VmId? = null,
    val trialSince: Timestamp = at,
    val notedBy: PersistentSet<VmId> = persistentSetOf(),
) {
    /** Whether the request is refused. */
    val condemned: Boolean get() = servers.size >= TOLERATED_CRASHES

    private companion object {
        const val TOLERATED_CRASHES = 2
    }
}
