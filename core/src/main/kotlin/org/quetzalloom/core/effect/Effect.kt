package org.quetzalloom.core.effect

import kotlinx.collections.immutable.PersistentList
import org.quetzalloom.core.backend.AttemptOrder
import org.quetzalloom.core.error.RouterError
import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.log.LogStream
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.selection.RatingSubject
import org.quetzalloom.core.timeline.TimelineEntry

/**
 * An output of [org.quetzalloom.core.router.RouterReducer], which the process that drives it carries out.
 *
 * The router in `core.relay` has [org.quetzalloom.core.relay.RelayEffect].
 */
public sealed interface Effect {
    /**
     * Answers to callers. A request is answered by [Begin], any number of [Chunk]s and [End], or by [Refuse], which may
     * also come after [Begin] and [Chunk]s.
     */
    public sealed interface OfCaller : Effect {
        /** The request that is answered. */
        public val request: RequestId

        /**
         * Begins the answer.
         *
         * @property version the version that the request runs on.
         * @property sessionToken the token for the caller to send with later requests of the session, or `null` if
         *   there is none.
         */
        public data class Begin(
            override val request: RequestId,
            public val version: VersionId,
            public val sessionToken: String?,
        ) : OfCaller

        /** Sends the next chunk of the answer. [position] is the number of tokens before it. */
        public data class Chunk(
            override val request: RequestId,
            public val position: Int,
            public val text: String,
        ) : OfCaller

        /**
         * Completes the answer.
         *
         * @property tokens the number of tokens of the whole answer.
         * @property costMicros the price of the answer, in millionths of the currency unit.
         * @property status the HTTP status of the answer.
         */
        public data class End(
            override val request: RequestId,
            public val tokens: Int,
            public val costMicros: Long,
            public val status: Int,
        ) : OfCaller

        /** Answers the request with [error]. After [Begin], the answer remains incomplete. */
        public data class Refuse(override val request: RequestId, public val error: RouterError) : OfCaller
    }

    /** Requests to backend servers. */
    public sealed interface OfBackend : Effect {
        /** Starts the attempt that [order] describes. */
        public data class Start(public val order: AttemptOrder) : OfBackend

        /** Cancels [attempt] and closes its connection, which must not be reused. */
        public data class Cancel(public val attempt: AttemptId) : OfBackend

        /** Requests a load report from [server] at [address], which is host and port. */
        public data class RequestLoadReport(public val server: BackendServerId, public val address: String) : OfBackend
    }

    /** Calls to the platform. */
    public sealed interface OfPlatform : Effect {
        /**
         * Appends [records] to [stream] as one batch.
         *
         * @property append the number of the append, which its result carries.
         * @property stamp the counter of the causal stamp at the time of the append.
         */
        public data class Append(
            public val append: Long,
            public val stream: LogStream,
            public val stamp: Long,
            public val records: PersistentList<LogRecord>,
        ) : OfPlatform

        /** Reads [stream] from the offset [from]. */
        public data class Read(public val stream: LogStream, public val from: Long) : OfPlatform

        /** Reads the platform's list of VMs. */
        public data object ListVms : OfPlatform

        /** Reads the ratings of answers that this VM has submitted, from the offset [from]. */
        public data class ReadRatings(public val from: Long) : OfPlatform

        /** Submits the [answer] to [request] for rating. */
        public data class SubmitForRating(
            public val request: RequestId,
            public val subject: RatingSubject,
            public val answer: String,
        ) : OfPlatform
    }

    /** Sends [message] to the peer [to]. [stamp] is the counter of this VM's causal stamp. */
    public data class SendToPeer(public val to: VmId, public val stamp: Long, public val message: PeerMessage) : Effect

    /** Adds [entry] to the time line and to the logs. */
    public data class Report(public val entry: TimelineEntry) : Effect

    /** Stops the process, which has drained. */
    public data object Stop : Effect
}
