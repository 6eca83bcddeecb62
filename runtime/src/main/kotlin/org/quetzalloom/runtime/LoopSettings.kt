package org.quetzalloom.runtime

/**
 * How a loop is driven.
 *
 * @property name the name of its thread.
 * @property tickMilliseconds the time between two tick events.
 */
public data class LoopSettings(
    public val name: String,
    public val tickMilliseconds: Long = 20,
)
