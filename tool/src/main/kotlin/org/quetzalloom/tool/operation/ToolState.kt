package org.quetzalloom.tool.operation

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.configuration.ConfigurationView
import org.quetzalloom.core.time.Timestamp

/**
 * How far an operation is.
 *
 * @property author names this run in the log.
 * @property begunAt when the operation began, or `null` before.
 * @property nextOffset the offset to read the configuration stream from.
 * @property proposedOn the revision that the change was proposed on, or `null` before.
 * @property appended whether the append is known to have succeeded.
 * @property answers the answers of VMs.
 */
internal data class ToolState(
    val operation: Operation,
    val author: String,
    val startedAt: Timestamp? = null,
    val view: ConfigurationView = ConfigurationView(),
    val nextOffset: Long = 0,
    val proposalBase: Long? = null,
    val appended: Boolean = false,
    val answers: PersistentMap<String, String?> = persistentMapOf(),
    val ended: Boolean = false,
)
