package org.quetzalloom.core.event

import kotlinx.collections.immutable.PersistentList
import org.quetzalloom.core.backend.AttemptFailure
import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.identity.StartIdentity
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.log.LogEntry
import org.quetzalloom.core.log.LogStream
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.peer.VmListing
import org.quetzalloom.core.request.CallerRequest
import org.quetzalloom.core.selection.Rating

/**
 * An input of [org.quetzalloom.core.router.RouterReducer], the reducer of the router in the `daemon` module.
 *
 * The router in `core.relay` has [org.quetzalloom.core.relay.RelayEvent].
 */
public sealed interface Event {
    /** Time has passed. Must come several times a second, as timeouts and intervals are checked on ticks. */
    public data object Tick : Event

    /** The operator or the platform requests a graceful shutdown of the router. */
    public data object ShutdownRequested : Event

    /** Events of callers. */
    public sealed interface OfCaller : Event {
        /** A caller sent [call], to which the front end has given the identifier [request]. */
        public data class Arrived(public val request: RequestId, public val call: CallerRequest) : OfCaller

        /** The caller of [request] closed its connection before the answer was complete. */
        public data class Disconnected(public val request: RequestId) : OfCaller
    }

    /** Events of backend servers. */
    public sealed interface OfBackend : Event {
        /**
         * The backend server began to answer, and named its current process [start]. There is no such event for a
         * response that does not name it.
         */
        public data class Accepted(public val attempt: AttemptId, public val start: StartIdentity) : OfBackend

        /**
         * A chunk of the answer arrived. The response body of a plain service counts as one chunk of one token.
         *
         * @property position the number of tokens of the answer before this chunk.
         * @property tokens the number of tokens in [text].
         */
        public data class ChunkReceived(
            public val attempt: AttemptId,
            public val position: Int,
            public val tokens: Int,
            public val text: String,
        ) : OfBackend

        /**
         * The backend server ended the answer. If chunks are missing, the attempt counts as failed.
         *
         * @property tokens the number of tokens of the whole answer.
         * @property status the HTTP status of the response.
         */
        public data class Finished(
            public val attempt: AttemptId,
            public val tokens: Int,
            public val status: Int,
        ) : OfBackend

        /** The attempt ended without a complete answer. */
        public data class Failed(public val attempt: AttemptId, public val failure: AttemptFailure) : OfBackend

        /**
         * A load report of [server], which may be out of date when it arrives.
         *
         * @property start identifies the current process of the backend server.
         * @property running the number of requests that it runs, from all VMs.
         * @property uptimeMilliseconds the time since its start.
         */
        public data class LoadReported(
            public val server: BackendServerId,
            public val start: StartIdentity,
            public val running: Int,
            public val uptimeMilliseconds: Long,
        ) : OfBackend

        /** A load report of [server] was requested and could not be read. */
        public data class LoadReportFailed(public val server: BackendServerId) : OfBackend
    }

    /** Events of the platform. */
    public sealed interface OfPlatform : Event {
        /**
         * A read of [stream] returned [entries], which may be empty.
         *
         * @property next the offset to read from next.
         * @property earliest the offset of the oldest record that the log still keeps.
         */
        public data class LogRead(
            public val stream: LogStream,
            public val entries: PersistentList<LogEntry>,
            public val next: Long,
            public val earliest: Long,
        ) : OfPlatform

        /** A read of [stream] failed. */
        public data class LogReadFailed(public val stream: LogStream) : OfPlatform

        /** The append numbered [append] succeeded. */
        public data class LogAppended(public val append: Long) : OfPlatform

        /** The append numbered [append] failed, or it took effect and its response was lost. */
        public data class LogAppendFailed(public val append: Long) : OfPlatform

        /** The platform's list of VMs, which may be out of date. */
        public data class VmsListed(public val listings: PersistentList<VmListing>) : OfPlatform

        /** Ratings of answers that this VM had submitted. [next] is the offset to read from next. */
        public data class RatingsRead(public val ratings: PersistentList<Rating>, public val next: Long) : OfPlatform

        /**
         * A read of the VM list or of the ratings, or a submission for rating, failed.
         *
         * The reducer ignores it: reads are repeated at fixed intervals, and a lost sample is not submitted again.
         *
         * @property endpoint the endpoint that was called: `vms`, `ratings` or `samples`.
         */
        public data class PlatformCallFailed(public val endpoint: String) : OfPlatform
    }

    /** The peer [from] sent [message]. [stamp] is the counter of the peer's causal stamp when it sent the message. */
    public data class FromPeer(
        public val from: VmId,
        public val stamp: Long,
        public val message: PeerMessage,
    ) : Event
}
