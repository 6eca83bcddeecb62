package org.quetzalloom.core.ledger

import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.request.Fingerprint
import org.quetzalloom.core.time.Timestamp

/**
 * The state of one command: the intent that won it, and its outcome.
 *
 * @property request the request that proposed the intent and may run the command.
 * @property owner the VM that received this request.
 * @property fingerprint the content of this request; a re-send with another content is refused.
 * @property offset the offset of the intent in the log, which is the fencing number of the call.
 * @property readAt the time at which this VM read the intent.
 * @property result the outcome, or `null` as long as none is in the log.
 */
internal data class CommandEntry(
    val request: RequestId,
    val owner: VmId,
    val fingerprint: Fingerprint,
    val offset: Long,
    val readAt: Timestamp,
    val result: CommandResult? = null,
)
