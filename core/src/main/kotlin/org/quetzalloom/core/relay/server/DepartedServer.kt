package org.quetzalloom.core.relay.server

import org.quetzalloom.core.time.Timestamp

/**
 * What is remembered of a backend server that is no longer listed: its process may go on, and entries that it wrote
 * before may be read later.
 *
 * @property listing the server's last entry in the list.
 * @property leaving whether the server has announced in a response that it shuts down.
 * @property at when the server was dropped.
 */
internal data class DepartedServer(val listing: ServerListing, val leaving: Boolean, val at: Timestamp) {
    /** Whether the server has announced that it shuts down, in its entry or in a response. */
    val isLeaving: Boolean get() = leaving || listing.draining
}
