package org.quetzalloom.core.relay.access

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.time.Timestamp

/**
 * The number of routers that read the store for the others. The routers of a zone stand together in the order of
 * members, so those at equal distances are usually in different zones.
 */
private const val READER_COUNT = 3

/** The fleet from which on routers read through others. In a smaller one direct calls cost little. */
private const val SMALLEST_FLEET_WITH_READERS = 17

/** How long a router reads directly after a reader has failed. Pauses and outages of a router last for seconds. */
private const val READ_DIRECTLY_MILLISECONDS = 5_000L

/** Returns the routers that read the store for the others; empty if each router reads for itself. */
internal fun RelayState.readers(): List<VmId> {
    val sorted = members.sortedMembers
    return if (sorted.size < SMALLEST_FLEET_WITH_READERS) {
        emptyList()
    } else {
        (0 until READER_COUNT).map { sorted[it * sorted.size / READER_COUNT] }
    }
}

/**
 * Returns the address of the router through which this one reads the store at [now], or `null` if it reads directly:
 * the fleet is small, or its reader has failed lately. A reader reads through another one, so that its reads are shared
 * as well.
 */
internal fun RelayState.readerAddressOrNull(now: Timestamp): String? {
    val readers = readers().filter { it != settings.vm }
    if (readers.isEmpty() || now < storePath.readDirectlyUntil) return null
    val turn = members.sortedMembers.indexOf(settings.vm) + storePath.readerChanges
    return members.addresses[readers[Math.floorMod(turn, readers.size)]]?.takeIf { it.isNotEmpty() }
}

/**
 * Returns the state after a read through a reader has failed at [now]: this router reads directly for a while, and then
 * through the next reader. It does not try that one at once, as several readers may fail together.
 */
internal fun RelayState.afterReaderFailure(now: Timestamp): RelayState = copy(
    storePath = storePath.copy(
        readerChanges = storePath.readerChanges + 1,
        readDirectlyUntil = now + READ_DIRECTLY_MILLISECONDS,
    ),
)
