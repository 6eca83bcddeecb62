package org.quetzalloom.core.router

/**
 * The timeouts, intervals, retention times and size limits of a router.
 *
 * @property stalenessMilliseconds the time without a successful log read or a message from a peer after which the
 *   configuration counts as stale and new requests are refused.
 * @property readIntervalMilliseconds the time from a read of a log stream that failed or found no new records to the
 *   next read.
 * @property appendsPerSecond the appends per second that the platform's log accepts from the whole fleet; each VM
 *   keeps to an equal share.
 * @property appendRetryMilliseconds the time from a failed append to the next one.
 * @property appendBatchRecords the maximum number of records in one append.
 * @property gossipIntervalMilliseconds the time between two digests; each goes to one peer, in rotation.
 * @property peerTimeoutMilliseconds the time without a message from a peer after which it no longer counts as live.
 * @property loadIntervalMilliseconds the time between two requests for a load report of one backend server.
 * @property firstTokenMilliseconds the longest silence of an engine before the first token of the answer; the attempt
 *   then fails.
 * @property tokenGapMilliseconds the longest silence of an engine between two tokens; the attempt then fails.
 * @property serviceSilenceMilliseconds the longest silence of a plain service; the attempt then fails.
 * @property sessionAnswerTimeoutMilliseconds the longest wait for the home VM of a session to answer with its
 *   version.
 * @property crashCheckTimeoutMilliseconds the longest wait to learn whether a backend server went down, and for peers
 *   to confirm a trial of the request that was running there. A server that has been up for less than this counts as
 *   restarted.
 * @property suspicionRetentionMilliseconds how long a request during which a backend server went down is remembered.
 * @property trialTimeoutMilliseconds how long other VMs wait for the outcome of the trial, which runs such a
 *   request once more.
 * @property billLogWaitMilliseconds how long the end of an answer waits for its bill to be in the log. After that, the
 *   bill is copied to peers, and a confirmed copy suffices to send the end.
 * @property billMaximumWaitMilliseconds the longest that the end of an answer waits for its bill; after that it
 *   is sent in any case.
 * @property billTakeoverMilliseconds how long a VM keeps a copy of the bill of a peer before it appends it to the
 *   log itself.
 * @property commandMemoryMilliseconds how long idempotency keys and recorded outcomes are remembered; at most as long
 *   as the log keeps records.
 * @property snapshotIntervalMilliseconds the age of the last configuration snapshot at which a new one is appended to
 *   the log.
 * @property drainGraceMilliseconds how long new requests are still accepted after shutdown was requested and readiness
 *   turned off.
 * @property activeRequests the maximum number of unanswered requests at once.
 * @property triesPerRequest the maximum number of attempts per request once one of them may have run. Attempts that
 *   certainly did not run are repeated until the deadline.
 * @property retryBudgetRatio the retries that each arriving request adds to the retry budget.
 * @property ratingPeriodMilliseconds the length of a rating period.
 * @property ratingPeriods the number of latest rating periods that quality estimates are computed from.
 * @property sampleShare the share of answers that are submitted for rating, 0.0 to 1.0.
 */
public data class RouterLimits(
    public val stalenessMilliseconds: Long = 5_000,
    public val readIntervalMilliseconds: Long = 250,
    public val appendsPerSecond: Int = 300,
    public val appendRetryMilliseconds: Long = 200,
    public val appendBatchRecords: Int = 500,
    public val gossipIntervalMilliseconds: Long = 500,
    public val peerTimeoutMilliseconds: Long = 3_000,
    public val loadIntervalMilliseconds: Long = 500,
    public val firstTokenMilliseconds: Long = 2_000,
    public val tokenGapMilliseconds: Long = 1_000,
    public val serviceSilenceMilliseconds: Long = 10_000,
    public val sessionAnswerTimeoutMilliseconds: Long = 150,
    public val crashCheckTimeoutMilliseconds: Long = 200,
    public val suspicionRetentionMilliseconds: Long = 600_000,
    public val trialTimeoutMilliseconds: Long = 10_000,
    public val billLogWaitMilliseconds: Long = 50,
    public val billMaximumWaitMilliseconds: Long = 1_000,
    public val billTakeoverMilliseconds: Long = 1_000,
    public val commandMemoryMilliseconds: Long = 86_400_000,
    public val snapshotIntervalMilliseconds: Long = 600_000,
    public val drainGraceMilliseconds: Long = 2_000,
    public val activeRequests: Int = 2_000,
    public val triesPerRequest: Int = 4,
    public val retryBudgetRatio: Double = 0.2,
    public val ratingPeriodMilliseconds: Long = 600_000,
    public val ratingPeriods: Int = 6,
    public val sampleShare: Double = 0.1,
)
