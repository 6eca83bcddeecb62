package org.quetzalloom.wire.peer

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.RequestClass
import org.quetzalloom.core.identity.SessionId
import org.quetzalloom.core.identity.StartIdentity
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.request.Fingerprint
import org.quetzalloom.core.selection.QualityEstimate
import org.quetzalloom.core.selection.RatingOrigin
import org.quetzalloom.core.selection.RatingSubject
import org.quetzalloom.wire.configuration.ConfigurationDocument
import org.quetzalloom.wire.configuration.toConfiguration
import org.quetzalloom.wire.configuration.toDocument
import org.quetzalloom.wire.log.BillDocument
import org.quetzalloom.wire.log.toBill
import org.quetzalloom.wire.log.toDocument

/**
 * The request body of `POST /peers`: a message from one router to another.
 *
 * @property from the VM that sends the message.
 * @property stamp the counter of the sender's causal stamp.
 */
@Serializable
public data class PeerEnvelope(
    public val from: String,
    public val stamp: Long,
    public val message: PeerDocument,
)

/**
 * The JSON form of [PeerMessage], whose subtypes describe the fields.
 *
 * The field `type` holds the serial name of the subtype.
 */
@Serializable
public sealed interface PeerDocument {
    /** See [PeerMessage.Digest]. */
    @Serializable
    @SerialName("digest")
    public data class Digest(public val revision: Long) : PeerDocument

    /** See [PeerMessage.AskConfiguration]. */
    @Serializable
    @SerialName("ask_configuration")
    public data object AskConfiguration : PeerDocument

    /** See [PeerMessage.TellConfiguration]. */
    @Serializable
    @SerialName("tell_configuration")
    public data class TellConfiguration(public val configuration: ConfigurationDocument) : PeerDocument

    /** See [PeerMessage.HoldBills]. */
    @Serializable
    @SerialName("hold_bills")
    public data class HoldBills(public val owner: String, public val bills: List<BillDocument>) : PeerDocument

    /** See [PeerMessage.BillsHeld]. */
    @Serializable
    @SerialName("bills_held")
    public data class BillsHeld(public val identities: List<String>) : PeerDocument

    /** See [PeerMessage.DropBills]. */
    @Serializable
    @SerialName("drop_bills")
    public data class DropBills(public val identities: List<String>) : PeerDocument

    /** See [PeerMessage.Suspect]. */
    @Serializable
    @SerialName("suspect")
    public data class Suspect(
        public val fingerprint: Long,
        public val server: String,
        public val trial: Boolean,
        public val trialAt: String? = null,
    ) : PeerDocument

    /** See [PeerMessage.SuspectNoted]. */
    @Serializable
    @SerialName("suspect_noted")
    public data class SuspectNoted(
        public val fingerprint: Long,
        public val trialAt: String? = null,
        public val agreed: Boolean,
    ) : PeerDocument

    /** See [PeerMessage.Cleared]. */
    @Serializable
    @SerialName("cleared")
    public data class Cleared(public val fingerprint: Long) : PeerDocument

    /** See [PeerMessage.Restarted]. */
    @Serializable
    @SerialName("restarted")
    public data class Restarted(public val server: String, public val start: String) : PeerDocument

    /** See [PeerMessage.AskSession]. */
    @Serializable
    @SerialName("ask_session")
    public data class AskSession(
        public val workspace: String,
        public val session: String,
        public val proposed: String,
    ) : PeerDocument

    /** See [PeerMessage.TellSession]. */
    @Serializable
    @SerialName("tell_session")
    public data class TellSession(
        public val workspace: String,
        public val session: String,
        public val version: String,
    ) : PeerDocument

    /** See [PeerMessage.TellRatings]. */
    @Serializable
    @SerialName("tell_ratings")
    public data class TellRatings(
        public val collector: String,
        public val period: Long,
        public val sums: List<RatingSumDocument>,
    ) : PeerDocument
}

/** The serialized form of a [RatingSubject] with the sum of its ratings, a [QualityEstimate]. */
@Serializable
public data class RatingSumDocument(
    public val workspace: String,
    public val requestClass: String,
    public val version: String,
    public val good: Long,
    public val rated: Long,
)

/** Returns the JSON form of this message. */
public fun PeerMessage.toDocument(): PeerDocument = when (this) {
    is PeerMessage.Digest -> PeerDocument.Digest(revision)
    is PeerMessage.AskConfiguration -> PeerDocument.AskConfiguration
    is PeerMessage.TellConfiguration -> PeerDocument.TellConfiguration(configuration.toDocument())
    is PeerMessage.HoldBills -> PeerDocument.HoldBills(owner.value, bills.map { it.toDocument() })
    is PeerMessage.BillsHeld -> PeerDocument.BillsHeld(identities)
    is PeerMessage.DropBills -> PeerDocument.DropBills(identities)
    is PeerMessage.Suspect -> PeerDocument.Suspect(fingerprint.value, server.value, trial, trialAt?.value)
    is PeerMessage.SuspectNoted -> PeerDocument.SuspectNoted(fingerprint.value, trialAt?.value, agreed)
    is PeerMessage.Cleared -> PeerDocument.Cleared(fingerprint.value)
    is PeerMessage.Restarted -> PeerDocument.Restarted(server.value, start.value)
    is PeerMessage.AskSession -> PeerDocument.AskSession(workspace.value, session.value, proposed.value)
    is PeerMessage.TellSession -> PeerDocument.TellSession(workspace.value, session.value, version.value)
    is PeerMessage.TellRatings -> PeerDocument.TellRatings(
        collector = origin.collector,
        period = origin.period,
        sums = sums.entries.map { (subject, sum) -> sum.toDocument(subject) },
    )
}

private fun QualityEstimate.toDocument(subject: RatingSubject): RatingSumDocument = RatingSumDocument(
    workspace = subject.workspace.value,
    requestClass = subject.requestClass.value,
    version = subject.version.value,
    good = good,
    rated = rated,
)

/**
 * Returns the message that this document describes.
 *
 * @throws IllegalArgumentException if a name is not a valid identifier, a kind of version does not exist, or the
 *   ratings of a subject count more good answers than rated ones.
 */
public fun PeerDocument.toMessage(): PeerMessage = when (this) {
    is PeerDocument.Digest -> PeerMessage.Digest(revision)
    is PeerDocument.AskConfiguration -> PeerMessage.AskConfiguration
    is PeerDocument.TellConfiguration -> PeerMessage.TellConfiguration(configuration.toConfiguration())
    is PeerDocument.HoldBills -> PeerMessage.HoldBills(VmId(owner), bills.map { it.toBill() }.toPersistentList())
    is PeerDocument.BillsHeld -> PeerMessage.BillsHeld(identities.toPersistentList())
    is PeerDocument.DropBills -> PeerMessage.DropBills(identities.toPersistentList())
    is PeerDocument.Suspect -> toSuspect()
    is PeerDocument.SuspectNoted -> toSuspectNoted()
    is PeerDocument.Cleared -> PeerMessage.Cleared(Fingerprint(fingerprint))
    is PeerDocument.Restarted -> PeerMessage.Restarted(BackendServerId(server), StartIdentity(start))
    is PeerDocument.AskSession ->
        PeerMessage.AskSession(WorkspaceId(workspace), SessionId(session), VersionId(proposed))
    is PeerDocument.TellSession ->
        PeerMessage.TellSession(WorkspaceId(workspace), SessionId(session), VersionId(version))
    is PeerDocument.TellRatings ->
        PeerMessage.TellRatings(
            RatingOrigin(collector, period),
            sums.associate { it.toSubject() to it.toEstimate() }.toPersistentMap(),
        )
}

private fun PeerDocument.Suspect.toSuspect(): PeerMessage.Suspect = PeerMessage.Suspect(
    fingerprint = Fingerprint(fingerprint),
    server = BackendServerId(server),
    trial = trial,
    trialAt = trialAt?.let { BackendServerId(it) },
)

private fun PeerDocument.SuspectNoted.toSuspectNoted(): PeerMessage.SuspectNoted =
    PeerMessage.SuspectNoted(Fingerprint(fingerprint), trialAt?.let { BackendServerId(it) }, agreed)

private fun RatingSumDocument.toSubject(): RatingSubject =
    RatingSubject(WorkspaceId(workspace), RequestClass(requestClass), VersionId(version))

private fun RatingSumDocument.toEstimate(): QualityEstimate = QualityEstimate(good = good, rated = rated)
