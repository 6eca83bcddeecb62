package org.quetzalloom.core.relay.crash

import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.relay.exchange.RelayRequest

/** An attempt that reached a backend server at [at], in milliseconds since the start of a [CrashRig]. */
class SentAttempt(val at: Long, val server: BackendServerId, val request: RelayRequest) {
    /** Returns whether the prompt has [part]. */
    fun has(part: String): Boolean = request.prompt.any { it.id == part }
}
