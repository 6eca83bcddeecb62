package org.quetzalloom.core.router

/**
 * Bounds in time and number. All times are in milliseconds.
 *
 * @property stalenessMilliseconds without word from the log or a peer for this long, no new work is taken.
 * @property readIntervalMilliseconds the time between two reads of a log stream that brings nothing new.
 * @property appendsPerSecond the appends that the platform's log takes from the whole fleet in a second; each VM
 *   keeps to its share.
 * @property appendRetryMilliseconds the time from a failed append to the next try.
 * @property appendBatchRecords the most records in one append.
 * @property gossipIntervalMilliseconds the time between two digests sent to peers.
 * @property peerTimeoutMilliseconds a peer that was not heard for this long counts as gone.
 * @property loadIntervalMilliseconds the time between two load reports of one backend server.
 * @property firstTokenMilliseconds an engine that has not begun to answer for this long is given up.
 * @property tokenGapMilliseconds an answer that has not gone on for this long is given up.
 * @property serviceSilenceMilliseconds a service that has not answered for this long is given up.
 * @property sessionAnswerTimeoutMilliseconds the longest wait for the home VM of a session.
 * @property crashCheckTimeoutMilliseconds the longest wait to learn whether a backend server went down, and for peers
 *   to note it.
 * @property suspicionRetentionMilliseconds how long a request that took down a backend server is remembered.
 * @property trialTimeoutMilliseconds how long other VMs wait for the second try of such a request.
 * @property billLogWaitMilliseconds the time for which an answer's end waits for its bill to be in the log; after it,
 *   copies at peers are enough.
 * @property billMaximumWaitMilliseconds the time after which the end is sent in any case.
 * @property billTakeoverMilliseconds a bill kept for a peer for this long is appended by its keeper.
 * @property commandMemoryMilliseconds how long keys are remembered; no longer than the log keeps records.
 * @property snapshotIntervalMilliseconds the age of the last snapshot at which a new one is put into the log.
 * @property drainGraceMilliseconds how long new work is still taken after readiness was turned off.
 * @property activeRequests the most requests at once.
 * @property triesPerRequest the most attempts of one request.
 * @property retryBudgetRatio the retries allowed for each request that arrives, on average.
 * @property ratingPeriodMilliseconds the length of a rating period.
 * @property ratingPeriods the latest rating periods that estimates of quality come from.
 * @property sampleShare the share of answers submitted for rating, 0.0 to 1.0.
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
