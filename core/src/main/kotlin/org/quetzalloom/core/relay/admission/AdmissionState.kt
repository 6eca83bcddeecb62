package org.quetzalloom.core.relay.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap
import org.quetzalloom.core.time.Timestamp

/**
 * The requests that were refused lately as there was no room for them.
 *
 * @property retryAt when the caller of each was asked to return, by the hash of the request's content.
 */
internal data class AdmissionState(val retryAt: PersistentMap<Long, Timestamp> = persistentHashMapOf()) {
    /** Returns whether a request with [contentHash] was refused and its caller asked to return later than [now]. */
    fun returnedEarly(contentHash: Long?, now: Timestamp): Boolean =
        contentHash?.let { retryAt[it] }?.let { now < it } ?: false

    /** Returns the state after a request with [contentHash] was refused at [now] until [returnAt]. */
    fun refused(contentHash: Long?, returnAt: Timestamp, now: Timestamp): AdmissionState {
        if (contentHash == null) return this
        val current = if (retryAt.size < MAXIMUM_ENTRIES) {
            retryAt
        } else {
            retryAt.filterValues { now < it }.toPersistentHashMap()
        }
        return if (current.size < MAXIMUM_ENTRIES) AdmissionState(current.put(contentHash, returnAt)) else this
    }

    private companion object {
        /** Bounds the memory; while there are this many callers, further ones are not remembered. */
        const val MAXIMUM_ENTRIES = 1_024
    }
}
