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

/** What VMs tell each other. Any message may be lost, late or doubled. */
public sealed interface PeerMessage {
    /** What the sender knows, told in turn to each peer. */
    public data class Digest(public val revision: Long) : PeerMessage

    /** Asks for the configuration, which the receiver holds at a higher revision. */
    public data object AskConfiguration : PeerMessage

    /** The configuration that the sender holds. */
    public data class TellConfiguration(public val configuration: Configuration) : PeerMessage

    /** Asks the receiver to keep [bills] of [owner] until they are dropped, or to append them itself. */
    public data class HoldBills(public val owner: VmId, public val bills: PersistentList<Bill>) : PeerMessage

    /** Tells that the sender keeps the bills named. */
    public data class BillsHeld(public val identities: PersistentList<String>) : PeerMessage

    /** Tells that the bills named are in the log and need not be kept. */
    public data class DropBills(public val identities: PersistentList<String>) : PeerMessage

    /**
     * Tells that a backend server went down while it ran a request.
     *
     * @property trial whether the sender is about to run the request once more, and nobody else may.
     * @property trialAt the backend server that the sender wants to run it at, or `null` while it looks for one.
     */
    public data class Suspect(
        public val fingerprint: Fingerprint,
        public val server: BackendServerId,
        public val trial: Boolean,
        public val trialAt: BackendServerId? = null,
    ) : PeerMessage

    /**
     * Tells that the sender has noted a [Suspect] message.
     *
     * @property trialAt the backend server that the message named.
     * @property agreed whether no trial of the sender stands in the way of the one announced.
     */
    public data class SuspectNoted(
        public val fingerprint: Fingerprint,
        public val trialAt: BackendServerId?,
        public val agreed: Boolean,
    ) : PeerMessage

    /** Tells that a suspected request ran to its end. */
    public data class Cleared(public val fingerprint: Fingerprint) : PeerMessage

    /** Tells that [server] started anew. */
    public data class Restarted(public val server: BackendServerId, public val start: StartIdentity) : PeerMessage

    /** Asks the home VM of a session for its version; [proposed] is what the sender would choose. */
    public data class AskSession(
        public val workspace: WorkspaceId,
        public val session: SessionId,
        public val proposed: VersionId,
    ) : PeerMessage

    /** Tells the version of a session. */
    public data class TellSession(
        public val workspace: WorkspaceId,
        public val session: SessionId,
        public val version: VersionId,
    ) : PeerMessage

    /** Tells the sums of all ratings of one [origin]. */
    public data class TellRatings(
        public val origin: RatingOrigin,
        public val sums: PersistentMap<RatingSubject, QualityEstimate>,
    ) : PeerMessage
}
