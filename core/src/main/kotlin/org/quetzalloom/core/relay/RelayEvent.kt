package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedProblem
import org.quetzalloom.core.relay.feed.FeedRecord
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.rollout.RolloutPhase
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.time.Timestamp

/**
 * The input of [RelayReducer]: everything that a router on the users' platform learns. The router with its own
 * interface has [org.quetzalloom.core.event.Event].
 */
public sealed interface RelayEvent {
    /** Time has passed. Occurs at short, regular intervals; everything that becomes due is checked on it. */
    public data object Tick : RelayEvent

    /** The reduction of [Tick] has thrown, and the state is what it was before. Occurs after each such tick. */
    public data object TickFailed : RelayEvent

    /**
     * The process, or the whole VM, may have stood still: the time of day has run ahead of the monotonic clock.
     *
     * @property milliseconds by how much the time of day has run ahead.
     */
    public data class PauseDetected(public val milliseconds: Long) : RelayEvent

    /** The process was asked to shut down gracefully. */
    public data object StopRequested : RelayEvent

    /** The settings have changed. */
    public data class SettingsChanged(public val settings: RelaySettings) : RelayEvent

    /** A request has been read completely. */
    public data class RequestArrived(public val exchange: ExchangeId, public val request: RelayRequest) : RelayEvent

    /** The caller has closed its connection. */
    public data class CallerLeft(public val exchange: ExchangeId) : RelayEvent

    /**
     * A new connection for an attempt at a backend server has been established. Attempts on connections that were open
     * before have no such event.
     */
    public data class AttemptConnected(public val exchange: ExchangeId, public val attempt: Int) : RelayEvent

    /**
     * The request of an attempt at a backend server has been written to its connection. Occurs only if that took more
     * than one write.
     */
    public data class RequestWritten(public val exchange: ExchangeId, public val attempt: Int) : RelayEvent

    /**
     * The response of an attempt can be decided upon: the head of a stream that succeeds has arrived, or any other
     * response completely.
     *
     * @property attempt the number of the attempt, from 1.
     */
    public data class ResponseStarted(
        public val exchange: ExchangeId,
        public val attempt: Int,
        public val head: ResponseHead,
    ) : RelayEvent

    /**
     * At least [EVENTS] events of a stream have been forwarded. Occurs once in an attempt.
     *
     * @property events the number of events forwarded.
     */
    public data class ResponseProgressed(
        public val exchange: ExchangeId,
        public val attempt: Int,
        public val events: Int,
    ) : RelayEvent {
        public companion object {
            /** Enough events for a mean of the time between them, and few enough to come early in most streams. */
            public const val EVENTS: Int = 16
        }
    }

    /**
     * The response of an attempt has been forwarded completely.
     *
     * @property events the number of events in the response; 0 if it is not an event stream.
     */
    public data class ResponseFinished(
        public val exchange: ExchangeId,
        public val attempt: Int,
        public val events: Int = 0,
    ) : RelayEvent

    /**
     * An attempt has ended without a complete response.
     *
     * @property lastEventId the id of the last event that this attempt forwarded to the caller, or `null` if there is
     *   none.
     * @property detail what was wrong with the response, for logs; `null` if [failure] says it all.
     */
    public data class AttemptFailed(
        public val exchange: ExchangeId,
        public val attempt: Int,
        public val failure: AttemptFailure,
        public val lastEventId: String? = null,
        public val detail: String? = null,
    ) : RelayEvent

    /**
     * The response of an attempt has not begun, or not continued, within its timeout. The attempt goes on, and the
     * event is repeated while the pause lasts.
     *
     * @property lastEventId the id of the last event that this attempt forwarded to the caller, or `null` if there is
     *   none.
     */
    public data class AttemptStalled(
        public val exchange: ExchangeId,
        public val attempt: Int,
        public val lastEventId: String? = null,
    ) : RelayEvent

    /**
     * A probe of [server] of [service] has ended.
     *
     * @property connected whether the server accepted the connection.
     */
    public data class ServerProbed(
        public val service: ServiceName,
        public val server: BackendServerId,
        public val connected: Boolean,
    ) : RelayEvent

    /**
     * Records of a feed have been read, in order.
     *
     * @property nextOffset the offset from which to read on.
     * @property snapshot whether the records are the newest of each key, rather than those from an offset.
     * @property throughReader whether they were read through another router, as the read asked for.
     * @property records the same records as they were read, for other routers.
     * @property hasMore whether the feed goes on at [nextOffset].
     * @property ageMilliseconds how long before its response the reader had read the store; 0 for a read of the store.
     * @property storeFailedMillisecondsAgo how long before its response a read of the feed by the reader had failed, or
     *   `null` if none had lately.
     * @property generation the generation of the group that the reader knew of; 0 if it is not told.
     * @property tooLarge whether the reader has records that are too large to be passed on; [entries] is empty then.
     * @property number the number of the read, or `null` if it is not known.
     * @property era the era of the store to which the result belongs; 0 if it is not told.
     */
    public data class FeedRead(
        public val feed: Feed,
        public val entries: List<FeedEntry>,
        public val nextOffset: Long,
        public val snapshot: Boolean,
        public val throughReader: Boolean = false,
        public val records: List<FeedRecord> = emptyList(),
        public val hasMore: Boolean = false,
        public val ageMilliseconds: Long = 0,
        public val storeFailedMillisecondsAgo: Long? = null,
        public val generation: Long = 0,
        public val tooLarge: Boolean = false,
        public val number: Long? = null,
        public val era: Long = 0,
    ) : RelayEvent

    /**
     * A feed could not be read.
     *
     * @property throughReader whether it was to be read through another router.
     * @property number the number of the read, or `null` if it is not known.
     * @property era the era of the store that refused the read; 0 if it is not told.
     */
    public data class FeedFailed(
        public val feed: Feed,
        public val problem: FeedProblem,
        public val detail: String,
        public val throughReader: Boolean = false,
        public val number: Long? = null,
        public val era: Long = 0,
    ) : RelayEvent

    /**
     * The group has confirmed this router's membership.
     *
     * @property generation the generation of the group, which changes with its members.
     * @property isLeader whether this router is the leader of the group.
     * @property sentAt when the call was sent. What the group grants lasts from then on.
     * @property era the era of the store; 0 if it is not told.
     */
    public data class GroupJoined(
        public val generation: Long,
        public val isLeader: Boolean,
        public val sentAt: Timestamp,
        public val era: Long = 0,
    ) : RelayEvent

    /**
     * The group could not be joined or listed.
     *
     * @property throughReader whether it was to be listed by another router.
     */
    public data class GroupFailed(public val detail: String, public val throughReader: Boolean = false) : RelayEvent

    /**
     * Another router asks for records of a feed.
     *
     * @property call the number of the call, to be named in its answer.
     * @property from the offset from which it asks, or `null` if it has read nothing.
     * @property waitMilliseconds how long the call waits if there is nothing new.
     * @property era the era of the store that the other router knows of, to which [from] belongs; 0 if it is not told.
     */
    public data class FeedAsked(
        public val call: Long,
        public val feed: Feed,
        public val from: Long?,
        public val waitMilliseconds: Long,
        public val era: Long = 0,
    ) : RelayEvent

    /**
     * Another router asks for the members of the group.
     *
     * @property generation the generation of the group that it knows of.
     */
    public data class MembersAsked(public val call: Long, public val generation: Long) : RelayEvent

    /**
     * The members of the group have been listed.
     *
     * @property generation the last known generation of the group when they were asked for.
     * @property memberAddresses the `host:port` at which each member receives beacons; empty if it is not known.
     */
    public data class MembersListed(
        public val generation: Long,
        public val memberAddresses: Map<VmId, String>,
    ) : RelayEvent

    /** Another router has sent a beacon. */
    public data class BeaconReceived(public val beacon: PeerBeacon) : RelayEvent

    /**
     * A write of a roll-out's phase has ended.
     *
     * @property accepted whether the phase was written.
     * @property detail why the phase was not written, or `null` if it was.
     */
    public data class StatusWriteFinished(
        public val service: ServiceName,
        public val phase: RolloutPhase,
        public val accepted: Boolean,
        public val detail: String? = null,
    ) : RelayEvent
}
