package org.quetzalloom.core.configuration

import org.quetzalloom.core.time.Timestamp

/**
 * The slice of [ConfigurationPart].
 *
 * @property heardAt when the log or a peer was last heard, or `null` before the first time.
 * @property snapshotAt when a snapshot was last seen or written, or `null` before the first.
 */
internal data class ConfigurationState(
    val view: ConfigurationView = ConfigurationView(),
    val lastContactAt: Timestamp? = null,
    val snapshotAt: Timestamp? = null,
)
