package org.quetzalloom.core.relay.session

import org.quetzalloom.core.time.Timestamp

/**
 * The version that the latest request of a session was sent to.
 *
 * @property usedAt when the latest request of the session was sent, or its response ended.
 */
internal data class VersionPin(val version: String, val usedAt: Timestamp)
