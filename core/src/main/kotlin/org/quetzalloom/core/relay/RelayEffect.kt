package org.quetzalloom.core.relay

import kotlinx.collections.immutable.PersistentList
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.SendOrder
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.rollout.RolloutPhase
import org.quetzalloom.core.relay.routing.CallerLimits
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.timeline.TimelineEntry

/** What a relay asks its process to do. */
public sealed interface RelayEffect {
    /** Sends the request of [exchange] to a backend server. */
    public data class Send(
        public val exchange: ExchangeId,
        public val attempt: Int,
        public val order: SendOrder,
    ) : RelayEffect

    /** Passes the answer of [attempt] to the caller: its head, if none was passed yet, and its body as it comes. */
    public data class ForwardAnswer(public val exchange: ExchangeId, public val attempt: Int) : RelayEffect

    /** Gives up [attempt] by closing its connection. */
    public data class CancelAttempt(public val exchange: ExchangeId, public val attempt: Int) : RelayEffect

    /** Answers the caller with an error of the relay's own. */
    public data class Refuse(
        public val exchange: ExchangeId,
        public val kind: ErrorKind,
        public val detail: String,
        public val retryAfterMilliseconds: Long? = null,
    ) : RelayEffect

    /** Closes the caller's connection in a way that an answer that was begun does not look whole. */
    public data class CutOff(public val exchange: ExchangeId) : RelayEffect

    /** Makes all further calls to the platform's store through the router at [viaRouter]; directly if it is `null`. */
    public data class SetStorePath(public val viaRouter: String?) : RelayEffect

    /**
     * Reads [feed] from offset [from], or the newest records of all keys if it is `null`.
     *
     * @property waitMilliseconds how long a read from an offset waits for a record.
     */
    public data class ReadFeed(
        public val feed: Feed,
        public val from: Long?,
        public val waitMilliseconds: Long,
    ) : RelayEffect

    /** Joins the group of routers, or stays in it. */
    public data class JoinGroup(public val generation: Long) : RelayEffect

    /** Lists the members of the group. */
    public data class ListMembers(public val generation: Long) : RelayEffect

    /** Sends [beacon] to the routers at [addresses], each a `host:port`. */
    public data class SendBeacon(
        public val addresses: PersistentList<String>,
        public val beacon: PeerBeacon,
    ) : RelayEffect

    /** Writes how far a roll-out is, unless the status feed no longer ends at [expectedEnd]. */
    public data class WriteRolloutStatus(
        public val service: ServiceName,
        public val version: String,
        public val phase: RolloutPhase,
        public val expectedEnd: Long,
    ) : RelayEffect

    /** Tells health checks whether new connections are wanted. */
    public data class SetReady(public val ready: Boolean) : RelayEffect

    /** Applies [limits] to what callers send from now on. */
    public data class ApplyLimits(public val limits: CallerLimits) : RelayEffect

    /** Closes each caller's connection after the answer that is under way, and idle ones a little later. */
    public data object DrainConnections : RelayEffect

    /** Writes a line to the log. */
    public data class Report(public val entry: TimelineEntry) : RelayEffect

    /** Ends the process. */
    public data object Finish : RelayEffect
}
