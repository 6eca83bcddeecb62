package org.quetzalloom.core.request

import org.quetzalloom.core.billing.Bill
import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.time.Timestamp

/** Where a request stands. */
internal sealed interface Phase {
    /** Waits for the home VM of its session to name the version. */
    data class AwaitingSession(val since: Timestamp) : Phase

    /** Waits for its intent to be read back from the log. */
    data object AwaitingIntent : Phase

    /** Waits for the outcome of the same command, run for another request. */
    data object AwaitingOutcome : Phase

    /** Waits until it is known whether [server] went down while it ran the request. */
    data class AwaitingCrashCheck(val server: BackendServerId, val since: Timestamp) : Phase

    /** Waits until peers have noted that the request is run once more after it took down a backend server. */
    data class AwaitingTrialConsent(val since: Timestamp) : Phase

    /** Waits until another VM has run the same suspected request to an end. */
    data object AwaitingTrial : Phase

    /** Waits for a backend server. */
    data object Queued : Phase

    /**
     * Runs at a backend server.
     *
     * @property accepted whether the backend server has begun to answer.
     * @property progressAt when it was last heard.
     */
    data class Running(
        val attempt: AttemptId,
        val server: BackendServerId,
        val accepted: Boolean,
        val progressAt: Timestamp,
    ) : Phase

    /** Has its whole answer; its end waits until the bill is kept. */
    data class Settling(val bill: Bill, val tokens: Int, val status: Int, val since: Timestamp) : Phase
}
