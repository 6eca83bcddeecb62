package org.quetzalloom.wire.log

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.billing.Bill
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.ConfigurationRecord
import org.quetzalloom.core.configuration.Rollout
import org.quetzalloom.core.configuration.ServiceRoute
import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.configuration.VersionKind
import org.quetzalloom.core.configuration.Workspace
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.IdempotencyKey
import org.quetzalloom.core.identity.RequestClass
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.identity.SessionId
import org.quetzalloom.core.identity.StartIdentity
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.ledger.CommandId
import org.quetzalloom.core.ledger.CommandResult
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.request.Fingerprint
import org.quetzalloom.core.selection.QualityEstimate
import org.quetzalloom.core.selection.RatingOrigin
import org.quetzalloom.core.selection.RatingSubject
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.peer.PeerDocument
import org.quetzalloom.wire.peer.toDocument
import org.quetzalloom.wire.peer.toMessage
import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests that log records and peer messages do not change when they are written as JSON and read again. */
class RecordDocumentTest {
    private val version = VersionId("m@1")
    private val workspace = WorkspaceId("w")
    private val command = CommandId(workspace, IdempotencyKey("k"))
    private val bill = Bill("request:r", workspace, version, units = 3, costMicros = 9)
    private val configuration = Configuration(
        revision = 4,
        workspaces = persistentMapOf(workspace to Workspace(workspace, persistentSetOf(version), 0.9)),
        versions = persistentMapOf(version to Version(version, "m", VersionKind.SERVICE, 5, 0.8, withdrawn = true)),
        zones = persistentSetOf(AvailabilityZoneId("a"), AvailabilityZoneId("b")),
        zonesOutOfService = persistentSetOf(AvailabilityZoneId("b")),
        services = persistentListOf(ServiceRoute("/p/", "m", persistentSetOf("POST"))),
        rollouts = persistentMapOf("m" to Rollout(VersionId("m@0"), version, 50)),
    )

    @Test
    fun everyRecordRoundTrips() {
        val records = listOf(
            LogRecord.OfConfiguration(ConfigurationRecord.Proposed(3, "a", ConfigurationChange.Publish(configuration))),
            LogRecord.OfConfiguration(ConfigurationRecord.Proposed(3, "a", ConfigurationChange.Withdraw(version))),
            LogRecord.OfConfiguration(ConfigurationRecord.Snapshot(configuration)),
            LogRecord.Intent(command, VmId("vm-1"), RequestId("r"), Fingerprint(-5)),
            LogRecord.Outcome(command, RequestId("r"), CommandResult.Answered(201, "done")),
            LogRecord.Outcome(command, RequestId("r"), CommandResult.Unknown),
            LogRecord.Release(command, RequestId("r")),
            LogRecord.OfBill(bill),
        )
        val texts = records.map { WireFormat.encodeToString<RecordDocument>(it.toDocument()) }
        assertEquals(records, texts.map { WireFormat.decodeFromString<RecordDocument>(it).toRecord() })
    }

    @Test
    fun everyPeerMessageRoundTrips() {
        val server = BackendServerId("e")
        val subject = RatingSubject(workspace, RequestClass("plan"), version)
        val messages = listOf(
            PeerMessage.Digest(4),
            PeerMessage.AskConfiguration,
            PeerMessage.TellConfiguration(configuration),
            PeerMessage.HoldBills(VmId("vm-1"), persistentListOf(bill)),
            PeerMessage.BillsHeld(persistentListOf("i")),
            PeerMessage.DropBills(persistentListOf("i")),
            PeerMessage.Suspect(Fingerprint(7), server, trial = true, trialAt = server),
            PeerMessage.SuspectNoted(Fingerprint(7), server, agreed = false),
            PeerMessage.Cleared(Fingerprint(7)),
            PeerMessage.Restarted(server, StartIdentity("s")),
            PeerMessage.AskSession(workspace, SessionId("s"), version),
            PeerMessage.TellSession(workspace, SessionId("s"), version),
            PeerMessage.TellRatings(
                RatingOrigin("vm-1:i", period = 3),
                persistentMapOf(subject to QualityEstimate(good = 1, rated = 2)),
            ),
        )
        val texts = messages.map { WireFormat.encodeToString<PeerDocument>(it.toDocument()) }
        assertEquals(messages, texts.map { WireFormat.decodeFromString<PeerDocument>(it).toMessage() })
    }
}
