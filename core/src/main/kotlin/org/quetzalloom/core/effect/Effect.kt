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

/** Everything that a router can ask its surroundings to do. */
public sealed interface Effect {
    /** Answers to callers. A request gets one [Begin], any number of [Chunk]s, and one [End] or [Refuse]. */
    public sealed interface OfCaller : Effect {
        /** The request that is answered. */
        public val request: RequestId

        /**
         * The answer begins.
         *
         * @property sessionToken the token to send with later requests of the session, or `null` without one.
         */
        public data class Begin(
            override val request: RequestId,
            public val version: VersionId,
            public val sessionToken: String?,
        ) : OfCaller

        /** The next tokens of the answer, the first of which is number [position] from 0. */
        public data class Chunk(
            override val request: RequestId,
            public val position: Int,
            public val text: String,
        ) : OfCaller

        /** The answer is whole. */
        public data class End(
            override val request: RequestId,
            public val tokens: Int,
            public val costMicros: Long,
            public val status: Int,
        ) : OfCaller

        /** The request failed; after [Begin], the answer stays incomplete. */
        public data class Refuse(override val request: RequestId, public val error: RouterError) : OfCaller
    }

    /** Orders to backend servers. */
    public sealed interface OfBackend : Effect {
        /** Send [order]. */
        public data class Start(public val order: AttemptOrder) : OfBackend

        /** Close the connection of [attempt] and never use it again. */
        public data class Cancel(public val attempt: AttemptId) : OfBackend

        /** Ask [server] at [address] for a load report. */
        public data class RequestLoadReport(public val server: BackendServerId, public val address: String) : OfBackend
    }

    /** Calls of the platform. */
    public sealed interface OfPlatform : Effect {
        /** Append [records] to [stream] as one batch. */
        public data class Append(
            public val append: Long,
            public val stream: LogStream,
            public val stamp: Long,
            public val records: PersistentList<LogRecord>,
        ) : OfPlatform

        /** Read [stream] from the offset [from]. */
        public data class Read(public val stream: LogStream, public val from: Long) : OfPlatform

        /** Read the list of VMs. */
        public data object ListVms : OfPlatform

        /** Read the ratings of this VM's samples from [from] on. */
        public data class ReadRatings(public val from: Long) : OfPlatform

        /** Submit an answer for rating. */
        public data class SubmitForRating(
            public val request: RequestId,
            public val subject: RatingSubject,
            public val answer: String,
        ) : OfPlatform
    }

    /** Send [message] to the peer [to]. */
    public data class SendToPeer(public val to: VmId, public val stamp: Long, public val message: PeerMessage) : Effect

    /** Add [entry] to the time line and to the logs. */
    public data class Report(public val entry: TimelineEntry) : Effect

    /** Nothing is left to do: stop the process. */
    public data object Stop : Effect
}
