package org.quetzalloom.standins.load

import kotlinx.collections.immutable.PersistentList

/** Everything that the load tool can do. */
sealed interface LoadEffect {
    /** Send a completion. */
    data class SendCompletion(
        val number: Long,
        val target: String,
        val prompt: String,
        val session: String?,
    ) : LoadEffect

    /** Send a command. */
    data class SendCommand(val number: Long, val target: String, val key: String) : LoadEffect

    /** All requests have ended. */
    data class Report(val samples: PersistentList<LoadSample>) : LoadEffect
}
