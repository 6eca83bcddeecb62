package org.quetzalloom.core.configuration

import org.quetzalloom.core.time.Timestamp

/**
 * The state of [ConfigurationPart].
 *
 * @property view the configuration and the changes that this VM knows.
 * @property lastContactAt when the log was last read or a peer last heard from, or `null` before the first time.
 * @property snapshotAt when this VM last read or wrote a snapshot. Before that, the time of the first tick, or `null`
 *   before the first tick.
 */
internal data class ConfigurationState(
    val view: ConfigurationView = ConfigurationView(),
    val lastContactAt: Timestamp? = null,
    val snapshotAt: Timestamp? = null,
)
