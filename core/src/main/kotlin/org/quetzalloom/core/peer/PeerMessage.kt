package org.quetzalloom.core.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import org.quetzalloom.core.billing.Bill
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.SessionId
import org.quetzalloom.core.identity.StartIdentity
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.request.Fingerprint
import org.quetzalloom.core.selection.QualityEstimate
import org.quetzalloom.core.selection.RatingOrigin
import org.quetzalloom.core.selection.RatingSubject

/** A message between VMs. Messages may be lost, delayed or duplicated. */
public sealed interface PeerMessage {
    /**
     * The gossip message that is sent to each peer in rotation.
     *
     * @property revision the configuration revision of the sender.
     */
    public data class Digest(public val revision: Long) : PeerMessage

    /** Requests the configuration from a peer that has a higher revision. */
    public data object AskConfiguration : PeerMessage

    /** The configuration in force at the sender. */
    public data class TellConfiguration(public val configuration: Configuration) : PeerMessage

    /**
     * Requests that the receiver keep [bills] of [owner] until it receives [DropBills]. If none comes in time, it
     * appends them to the log itself.
     */
    public data class HoldBills(public val owner: VmId, public val bills: PersistentList<Bill>) : PeerMessage

    /** Confirms that the sender keeps the bills with these [identities]. */
    public data class BillsHeld(public val identities: PersistentList<String>) : PeerMessage

    /** Reports that the bills with these [identities] are in the log and need no longer be kept. */
    public data class DropBills(public val identities: PersistentList<String>) : PeerMessage

    /**
     * Reports that a backend server went down while it ran a request, and announces or ends a trial, in which one VM
     * runs the request once more to find out whether it was the cause.
     *
     * @property fingerprint identifies the content of the request.
     * @property server the backend server that went down.
     * @property trial whether the sender is to run the trial; no other VM may then run the request.
     * @property trialAt the backend server for the trial, or `null` if the sender has not chosen one yet.
     */
    public data class Suspect(
        public val fingerprint: Fingerprint,
        public val server: BackendServerId,
        public val trial: Boolean,
        public val trialAt: BackendServerId? = null,
    ) : PeerMessage

    /**
     * Acknowledges a [Suspect] message.
     *
     * @property trialAt the backend server for the trial in that message.
     * @property agreed whether the announced trial conflicts with no trial of the sender.
     */
    public data class SuspectNoted(
        public val fingerprint: Fingerprint,
        public val trialAt: BackendServerId?,
        public val agreed: Boolean,
    ) : PeerMessage

    /** Reports that the suspected request with [fingerprint] has run past the point of the crash and is cleared. */
    public data class Cleared(public val fingerprint: Fingerprint) : PeerMessage

    /** Reports that [server] has restarted; [start] identifies its new process. */
    public data class Restarted(public val server: BackendServerId, public val start: StartIdentity) : PeerMessage

    /** Asks the home VM of [session] for its version. The home VM assigns [proposed] if it has none yet. */
    public data class AskSession(
        public val workspace: WorkspaceId,
        public val session: SessionId,
        public val proposed: VersionId,
    ) : PeerMessage

    /** Reports the version of [session], as the answer to [AskSession] or as a copy for the next home VM. */
    public data class TellSession(
        public val workspace: WorkspaceId,
        public val session: SessionId,
        public val version: VersionId,
    ) : PeerMessage

    /** Reports the sums of all ratings of one [origin], by subject. */
    public data class TellRatings(
        public val origin: RatingOrigin,
        public val sums: PersistentMap<RatingSubject, QualityEstimate>,
    ) : PeerMessage
}
