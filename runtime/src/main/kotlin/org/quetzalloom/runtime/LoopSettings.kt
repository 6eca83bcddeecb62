package org.quetzalloom.runtime

/**
 * The settings of an [EventLoop].
 *
 * @property name the name of the loop's thread.
 * @property tickMilliseconds the minimum time between two ticks. A loop that is busy ticks later.
 */
public data class LoopSettings(
    public val name: String,
    public val tickMilliseconds: Long = 20,
)
