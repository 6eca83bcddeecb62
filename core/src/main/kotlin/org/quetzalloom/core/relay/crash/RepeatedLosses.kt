package org.quetzalloom.core.relay.crash

import org.quetzalloom.core.time.Timestamp

/**
 * Quarantines after a number of losses that are unlikely to have one cause outside the requests. Each further loss
 * makes the time until the next trial longer by a factor.
 *
 * @property losses the number of losses for a quarantine.
 * @property minimumGapMilliseconds losses that follow each other more closely count once: a zone or a network that
 *   fails takes down several servers at one moment.
 * @property firstDelayMilliseconds the time from the last loss to a trial when there are just enough losses.
 * @property delayFactor the factor for each further loss.
 * @property longestDelayMilliseconds the maximum time from the last loss to a trial.
 */
public data class RepeatedLosses(
    public val losses: Int = 3,
    public val minimumGapMilliseconds: Long = 100,
    public val firstDelayMilliseconds: Long = 15_000,
    public val delayFactor: Int = 4,
    public val longestDelayMilliseconds: Long = 900_000,
) : QuarantinePolicy {
    override fun isEnough(losses: Collection<Timestamp>): Boolean {
        if (losses.size < this.losses) return false
        val gaps = losses.sorted().zipWithNext { earlier, later -> later - earlier }
        return 1 + gaps.count { it >= minimumGapMilliseconds } >= this.losses
    }

    override fun trialDelay(losses: Int): Long = (this.losses until losses).fold(firstDelayMilliseconds) { delay, _ ->
        (delay * delayFactor).coerceAtMost(longestDelayMilliseconds)
    }
}
