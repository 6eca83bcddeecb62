package org.quetzalloom.standins.load

import kotlinx.collections.immutable.PersistentList

/** An effect of the load tool. */
sealed interface LoadEffect {
    /** Sends completion [number] to [target], a host and port. */
    data class SendCompletion(
        val number: Long,
        val target: String,
        val prompt: String,
        val session: String?,
    ) : LoadEffect

    /** Sends command [number] to [target], a host and port, with the idempotency key [key]. */
    data class SendCommand(val number: Long, val target: String, val key: String) : LoadEffect

    /** Reports the results of all requests, after the last one has ended. */
    data class Report(val samples: PersistentList<LoadSample>) : LoadEffect
}
