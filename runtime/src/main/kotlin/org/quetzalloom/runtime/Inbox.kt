package org.quetzalloom.runtime

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.locks.LockSupport

/**
 * Hands items from any number of threads to one reader, in the order in which they were put.
 *
 * The one object that threads share. A reader that finds nothing is parked.
 */
public class Inbox<T : Any> {
    private val items = AtomicReference<PersistentList<T>>(persistentListOf())
    private val parkedReader = AtomicReference<Thread?>(null)

    /** Adds [item] at the end, and wakes the reader. */
    public fun put(item: T) {
        items.updateAndGet { it.add(item) }
        parkedReader.get()?.let { LockSupport.unpark(it) }
    }

    /** Takes everything that was put so far, without waiting; may be empty. */
    public fun takeAll(): PersistentList<T> = items.getAndSet(persistentListOf())

    /** Waits until something is there or [milliseconds] have passed, then takes everything. Only for the reader. */
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
