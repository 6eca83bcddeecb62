package org.quetzalloom.core.relay.server

/**
 * The load that a backend server reports with its responses.
 *
 * @property running the number of requests that the server works on.
 * @property waiting the number of requests in the server's queue.
 * @property slots the number of requests that the server can work on at once.
 */
public data class LoadReport(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
)
