package org.quetzalloom.relay.http

/**
 * Passes an [OutOfMemoryError] on to the default handler of uncaught exceptions, which ends the process: after a failed
 * allocation, connections and timers may be lost without notice. Does nothing for any other throwable.
 */
internal fun Throwable.endProcessIfOutOfMemory() {
    if (this is OutOfMemoryError) {
        Thread.getDefaultUncaughtExceptionHandler()?.uncaughtException(Thread.currentThread(), this)
    }
}
