package org.quetzalloom.tool.operation

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.configuration.ConfigurationView
import org.quetzalloom.core.time.Timestamp

/**
 * The progress of one operation.
 *
 * @property author identifies this run of the tool in the log.
 * @property startedAt when the operation was started, or `null` before.
 * @property view the configuration in force according to the part of the stream that has been read.
 * @property nextOffset the offset to read the configuration stream from.
 * @property proposalBase the revision that the latest proposal is based on, or `null` before the first.
 * @property appended whether the append of the latest proposal is known to have succeeded.
 * @property answers the response body of each VM whose call has ended; `null` where the call failed.
 * @property ended whether the operation is over; later events are ignored.
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
