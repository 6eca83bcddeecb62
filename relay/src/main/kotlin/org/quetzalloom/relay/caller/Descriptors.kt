package org.quetzalloom.relay.caller

import java.io.File
import java.io.IOException

/** The limit of the process on open descriptors. */
internal object Descriptors {
    private const val LIMITS = "/proc/self/limits"
    private const val NAME = "Max open files"

    /** Returns the limit in force, or `null` if there is none or it is not known. */
    fun limitOrNull(): Long? = try {
        File(LIMITS).useLines { lines -> lines.firstOrNull { it.startsWith(NAME) } }
            ?.removePrefix(NAME)?.trim()?.substringBefore(' ')?.toLongOrNull()
    } catch (_: IOException) {
        null
    }
}
