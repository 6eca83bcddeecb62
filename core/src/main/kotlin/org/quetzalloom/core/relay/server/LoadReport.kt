package org.quetzalloom.core.relay.server

/** How many requests a backend server works on, how many wait there, and how many it can work on at once. */
public data class LoadReport(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
)
