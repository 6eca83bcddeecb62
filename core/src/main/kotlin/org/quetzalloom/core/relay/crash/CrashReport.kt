package org.quetzalloom.core.relay.crash

import kotlinx.collections.immutable.PersistentMap

/**
 * A router's report to the other routers about requests with a certain content, as the possible cause of crashes.
 *
 * @property position the position of the content in the requests; see [CrashEvidence.position].
 * @property lossAges the runs of backend servers that were lost, and how long ago in milliseconds.
 * @property answerAgeMilliseconds how long ago such a request was last answered, or `null` if none was.
 * @property trialAgeMilliseconds how long ago a router last sent such a request as a trial, or `null` if none did.
 */
public data class CrashReport(
    public val key: ContentKey,
    public val position: Int,
    public val lossAges: PersistentMap<ServerRun, Long>,
    public val answerAgeMilliseconds: Long? = null,
    public val trialAgeMilliseconds: Long? = null,
)
