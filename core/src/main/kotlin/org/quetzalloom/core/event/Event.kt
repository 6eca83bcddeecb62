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

/** Everything that can happen to a router. */
public sealed interface Event {
    /** Time has passed. Due several times a second. */
    public data object Tick : Event

    /** The operator or the platform asks the VM to stop. */
    public data object ShutdownRequested : Event

    /** What callers do. */
    public sealed interface OfCaller : Event {
        /** A caller sent [call], which the front end named [request]. */
        public data class Arrived(public val request: RequestId, public val call: CallerRequest) : OfCaller

        /** The caller closed its connection before the answer was whole. */
        public data class Disconnected(public val request: RequestId) : OfCaller
    }

    /** What backend servers do. */
    public sealed interface OfBackend : Event {
        /** The backend server began to answer; [start] names the start that it runs since. */
        public data class Accepted(public val attempt: AttemptId, public val start: StartIdentity) : OfBackend

        /** Tokens arrived. [position] counts the tokens of the answer before [text]; [tokens] are in it. */
        public data class ChunkReceived(
            public val attempt: AttemptId,
            public val position: Int,
            public val tokens: Int,
            public val text: String,
        ) : OfBackend

        /** The answer ended. [tokens] counts those of the whole answer; [status] is the HTTP status of a service. */
        public data class Finished(
            public val attempt: AttemptId,
            public val tokens: Int,
            public val status: Int,
        ) : OfBackend

        /** The attempt failed. */
        public data class Failed(public val attempt: AttemptId, public val failure: AttemptFailure) : OfBackend

        /** A load report: [running] requests, and the time since the start in milliseconds. Late by some time. */
        public data class LoadReported(
            public val server: BackendServerId,
            public val start: StartIdentity,
            public val running: Int,
            public val upForMilliseconds: Long,
        ) : OfBackend

        /** The backend server did not report. */
        public data class LoadReportFailed(public val server: BackendServerId) : OfBackend
    }

    /** What the platform does. */
    public sealed interface OfPlatform : Event {
        /** The log gave [entries]; [next] is the offset to read from next, [earliest] the oldest one kept. */
        public data class LogRead(
            public val stream: LogStream,
            public val entries: PersistentList<LogEntry>,
            public val next: Long,
            public val earliest: Long,
        ) : OfPlatform

        /** The log could not be read. */
        public data class LogReadFailed(public val stream: LogStream) : OfPlatform

        /** The append numbered [append] is in the log. */
        public data class LogAppended(public val append: Long) : OfPlatform

        /** The append numbered [append] failed, or its answer was lost after it took effect. */
        public data class LogAppendFailed(public val append: Long) : OfPlatform

        /** The list of VMs, which lags. */
        public data class VmsListed(public val listings: PersistentList<VmListing>) : OfPlatform

        /** Ratings of answers that this VM had submitted; [next] is the place to read from next. */
        public data class RatingsRead(public val ratings: PersistentList<Rating>, public val next: Long) : OfPlatform

        /** A read of the VM list or of the ratings failed. */
        public data class PlatformReadFailed(public val source: String) : OfPlatform
    }

    /** A peer sent [message]; [stamp] is its causal stamp at that time. */
    public data class FromPeer(
        public val from: VmId,
        public val stamp: Long,
        public val message: PeerMessage,
    ) : Event
}
