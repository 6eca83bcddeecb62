package org.quetzalloom.core.ledger

import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.request.Fingerprint
import org.quetzalloom.core.time.Timestamp

/**
 * The intent that won a command, and its outcome.
 *
 * @property offset the place of the intent in the log; the fencing number of the call.
 * @property readAt when this VM read the intent.
 * @property result the outcome, or `null` while none is recorded.
 */
internal data class CommandEntry(
    val request: RequestId,
    val owner: VmId,
    val fingerprint: Fingerprint,
    val offset: Long,
    val readAt: Timestamp,
    val result: CommandResult? = null,
)
