package org.quetzalloom.runtime

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.locks.LockSupport

/**
 * A queue with any number of writers and one reader, which takes the items in the order in which they were put.
 *
 * It is the only object that writers share with the reader. A reader that waits is parked and does not spin.
 */
public class Inbox<T : Any> {
    private val items = AtomicReference<PersistentList<T>>(persistentListOf())
    private val parkedReader = AtomicReference<Thread?>(null)

    /** Adds [item] at the end and wakes the reader if it waits. */
    public fun put(item: T) {
        items.updateAndGet { it.add(item) }
        parkedReader.get()?.let { LockSupport.unpark(it) }
    }

    /** Removes and returns all items, without waiting; may return none. */
    public fun takeAll(): PersistentList<T> = items.getAndSet(persistentListOf())

    /**
     * Waits up to [milliseconds] for an item, then removes and returns all items. May return none, also before the time
     * has passed. Must be called by the reader only.
     */
    public fun takeAllWithin(milliseconds: Long): PersistentList<T> {
        parkedReader.set(Thread.currentThread())
        if (items.get().isEmpty()) LockSupport.parkNanos(this, milliseconds * NANOSECONDS_PER_MILLISECOND)
        parkedReader.set(null)
        return takeAll()
    }

    private companion object {
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}
