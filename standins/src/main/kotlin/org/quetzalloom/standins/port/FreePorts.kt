package org.quetzalloom.standins.port

import java.io.IOException
import java.net.ServerSocket
import kotlin.random.Random

/** Finds TCP ports for programs that are told their ports before they listen on them. */
object FreePorts {
    private const val FIRST = 10_000

    /** Below the ports that systems give to outgoing connections, which could take a port before its program does. */
    private const val LAST = 32_000
    private val taken = HashSet<Int>()

    /** Returns a port on which nothing listens, and which it has not returned before. */
    @Synchronized
    fun next(): Int = generateSequence { Random.nextInt(FIRST, LAST) }
        .first { it !in taken && isFree(it) }
        .also { taken.add(it) }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port).close()
        true
    } catch (_: IOException) {
        false
    }
}
