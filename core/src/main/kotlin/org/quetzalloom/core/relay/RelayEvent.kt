package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.exchange.AnswerHead
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedProblem
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.rollout.RolloutPhase
import org.quetzalloom.core.relay.routing.ServiceName

/** Everything that can happen to a relay. */
public sealed interface RelayEvent {
    /** Time has passed. */
    public data object Tick : RelayEvent

    /** The process was asked to stop. */
    public data object StopRequested : RelayEvent

    /** The settings have changed. */
    public data class SettingsChanged(public val settings: RelaySettings) : RelayEvent

    /** A request has been read whole. */
    public data class RequestArrived(public val exchange: ExchangeId, public val request: RelayRequest) : RelayEvent

    /** The caller has closed its connection. */
    public data class CallerLeft(public val exchange: ExchangeId) : RelayEvent

    /**
     * The head of an answer has arrived.
     *
     * @property attempt the number of the attempt, from 1.
     */
    public data class AnswerStarted(
        public val exchange: ExchangeId,
        public val attempt: Int,
        public val head: AnswerHead,
    ) : RelayEvent

    /** The answer of an attempt is whole. */
    public data class AnswerFinished(public val exchange: ExchangeId, public val attempt: Int) : RelayEvent

    /**
     * An attempt has ended without a whole answer.
     *
     * @property lastEventId the id of the last event of the stream that the caller has, or `null`.
     */
    public data class AttemptFailed(
        public val exchange: ExchangeId,
        public val attempt: Int,
        public val failure: AttemptFailure,
        public val lastEventId: String? = null,
    ) : RelayEvent

    /**
     * Records of a feed have been read, in order.
     *
     * @property next the offset after the last of them.
     * @property snapshot whether they are the newest records of all keys.
     */
    public data class FeedRead(
        public val feed: Feed,
        public val entries: List<FeedEntry>,
        public val next: Long,
        public val snapshot: Boolean,
    ) : RelayEvent

    /** A feed could not be read. */
    public data class FeedFailed(
        public val feed: Feed,
        public val problem: FeedProblem,
        public val detail: String,
    ) : RelayEvent

    /** The group has confirmed this router. */
    public data class GroupJoined(public val generation: Long, public val isLeader: Boolean) : RelayEvent

    /** The group could not be joined or listed. */
    public data class GroupFailed(public val detail: String) : RelayEvent

    /**
     * The members of the group, asked for when [generation] was the last one heard.
     *
     * @property vms the `host:port` at which each member receives beacons; empty where it is not known.
     */
    public data class MembersListed(public val generation: Long, public val vms: Map<VmId, String>) : RelayEvent

    /** Another router has told of its work. */
    public data class BeaconReceived(public val beacon: PeerBeacon) : RelayEvent

    /** A status was written, or was not because of [detail]. */
    public data class StatusWriteFinished(
        public val service: ServiceName,
        public val phase: RolloutPhase,
        public val accepted: Boolean,
        public val detail: String? = null,
    ) : RelayEvent
}
