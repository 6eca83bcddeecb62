package org.quetzalloom.core.request

import org.quetzalloom.core.billing.Bill
import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.time.Timestamp

/** The state of an active request: what it waits for, or the attempt that it runs in. */
internal sealed interface Phase {
    /** Waits for the home VM of its session to name the version. */
    data class AwaitingSession(val since: Timestamp) : Phase

    /** Waits until the intent of its command is read back from the log. */
    data object AwaitingIntent : Phase

    /** Waits for the outcome of its command, which another request runs. */
    data object AwaitingOutcome : Phase

    /** Waits for a load report that shows whether [server] went down while it ran the request. */
    data class AwaitingCrashCheck(val server: BackendServerId, val since: Timestamp) : Phase

    /**
     * Waits until the peers agree to its trial: it took down a backend server, and this VM wants to run it once more.
     */
    data class AwaitingTrialConsent(val since: Timestamp) : Phase

    /** Waits until its trial may start: another request with its content is on trial, or no backend server is free. */
    data object AwaitingTrial : Phase

    /** Waits for a backend server with room. */
    data object Queued : Phase

    /**
     * An attempt is running at [server].
     *
     * @property accepted whether the backend server has begun to answer and has named its start.
     * @property progressAt the time of the last progress, from which the timeouts of the attempt count.
     */
    data class Running(
        val attempt: AttemptId,
        val server: BackendServerId,
        val accepted: Boolean,
        val progressAt: Timestamp,
    ) : Phase

    /**
     * The answer is complete; its end is sent once [bill] is in the log or copied to peers, or after
     * `billMaximumWaitMilliseconds`.
     */
    data class AwaitingBill(val bill: Bill, val tokens: Int, val status: Int, val since: Timestamp) : Phase
}
