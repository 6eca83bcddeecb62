package org.quetzalloom.bench

import kotlinx.serialization.encodeToString
import org.quetzalloom.core.billing.Bill
import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.ConfigurationRecord
import org.quetzalloom.core.identity.IdempotencyKey
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.ledger.CommandId
import org.quetzalloom.core.ledger.CommandResult
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.request.Fingerprint
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.configuration.toDocument
import org.quetzalloom.wire.log.RecordDocument
import org.quetzalloom.wire.log.toDocument
import org.quetzalloom.wire.peer.PeerEnvelope
import org.quetzalloom.wire.peer.toDocument
import java.util.UUID

/**
 * The sizes of messages and log records of [fleet], as JSON.
 *
 * They are counted in characters, which are bytes because the contents are ASCII.
 */
internal class WireSizes(private val fleet: SyntheticFleet) {
    private val identity = UUID(0, 0).toString()

    fun digest(): Int =
        WireFormat.encodeToString(
            PeerEnvelope(fleet.vm.value, STAMP, PeerMessage.Digest(REVISION).toDocument())
        ).length

    fun change(): Int {
        val change = ConfigurationChange.SetZone(fleet.configuration().zones.first(), inService = false)
        return bytes(LogRecord.OfConfiguration(ConfigurationRecord.Proposed(REVISION, "operator:$identity", change)))
    }

    fun configuration(): Int = WireFormat.encodeToString(fleet.configuration().toDocument()).length

    fun bill(): Int {
        val version = fleet.configuration().versions.keys.first()
        return bytes(LogRecord.OfBill(Bill("request:$identity", fleet.workspace, version, UNITS, COST_MICROS)))
    }

    fun command(): Int {
        val command = CommandId(fleet.workspace, IdempotencyKey(identity))
        val request = RequestId(identity)
        val intent = LogRecord.Intent(command, fleet.vm, request, Fingerprint(Long.MAX_VALUE))
        val outcome = LogRecord.Outcome(
            command,
            request,
            CommandResult.Answered(status = STATUS, body = "{\"done\":true}")
        )
        return bytes(intent) + bytes(outcome)
    }

    private fun bytes(record: LogRecord): Int =
        WireFormat.encodeToString<RecordDocument>(record.toDocument()).length

    private companion object {
        const val STAMP = 1_000_000L
        const val REVISION = 1_000L
        const val UNITS = 220L
        const val COST_MICROS = 220_000L
        const val STATUS = 200
    }
}
