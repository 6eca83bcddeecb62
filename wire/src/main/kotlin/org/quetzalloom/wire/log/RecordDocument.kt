package org.quetzalloom.wire.log

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.quetzalloom.core.configuration.ConfigurationRecord
import org.quetzalloom.core.identity.IdempotencyKey
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.ledger.CommandId
import org.quetzalloom.core.ledger.CommandResult
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.request.Fingerprint
import org.quetzalloom.wire.configuration.ChangeDocument
import org.quetzalloom.wire.configuration.ConfigurationDocument
import org.quetzalloom.wire.configuration.toChange
import org.quetzalloom.wire.configuration.toConfiguration
import org.quetzalloom.wire.configuration.toDocument

/** The JSON form of [LogRecord]. The field `type` holds the serial name of the subtype. */
@Serializable
public sealed interface RecordDocument {
    /** See [ConfigurationRecord.Proposed]. */
    @Serializable
    @SerialName("proposed")
    public data class Proposed(
        public val base: Long,
        public val author: String,
        public val change: ChangeDocument,
    ) : RecordDocument

    /** See [ConfigurationRecord.Snapshot]. */
    @Serializable
    @SerialName("snapshot")
    public data class Snapshot(public val configuration: ConfigurationDocument) : RecordDocument

    /** See [LogRecord.Intent]. */
    @Serializable
    @SerialName("intent")
    public data class Intent(
        public val workspace: String,
        public val key: String,
        public val owner: String,
        public val request: String,
        public val fingerprint: Long,
    ) : RecordDocument

    /** See [LogRecord.Outcome]. Without a [status], the outcome is [CommandResult.Unknown]. */
    @Serializable
    @SerialName("outcome")
    public data class Outcome(
        public val workspace: String,
        public val key: String,
        public val request: String,
        public val status: Int? = null,
        public val body: String? = null,
    ) : RecordDocument

    /** See [LogRecord.Release]. */
    @Serializable
    @SerialName("release")
    public data class Release(
        public val workspace: String,
        public val key: String,
        public val request: String,
    ) : RecordDocument

    /** See [LogRecord.OfBill]. */
    @Serializable
    @SerialName("bill")
    public data class OfBill(public val bill: BillDocument) : RecordDocument
}

/** Returns the JSON form of this record. */
public fun LogRecord.toDocument(): RecordDocument = when (this) {
    is LogRecord.OfConfiguration -> record.toDocument()
    is LogRecord.Intent -> RecordDocument.Intent(
        workspace = command.workspace.value,
        key = command.key.value,
        owner = owner.value,
        request = request.value,
        fingerprint = fingerprint.value,
    )
    is LogRecord.Outcome -> toDocument()
    is LogRecord.Release -> RecordDocument.Release(command.workspace.value, command.key.value, request.value)
    is LogRecord.OfBill -> RecordDocument.OfBill(bill.toDocument())
}

private fun ConfigurationRecord.toDocument(): RecordDocument = when (this) {
    is ConfigurationRecord.Proposed -> RecordDocument.Proposed(base, author, change.toDocument())
    is ConfigurationRecord.Snapshot -> RecordDocument.Snapshot(configuration.toDocument())
}

private fun LogRecord.Outcome.toDocument(): RecordDocument.Outcome {
    val answered = result as? CommandResult.Answered
    return RecordDocument.Outcome(
        workspace = command.workspace.value,
        key = command.key.value,
        request = request.value,
        status = answered?.status,
        body = answered?.body,
    )
}

/**
 * Returns the log record that this document describes.
 *
 * @throws IllegalArgumentException if a name is not a valid identifier or a kind of version does not exist.
 */
public fun RecordDocument.toRecord(): LogRecord = when (this) {
    is RecordDocument.Proposed ->
        LogRecord.OfConfiguration(ConfigurationRecord.Proposed(base, author, change.toChange()))
    is RecordDocument.Snapshot ->
        LogRecord.OfConfiguration(ConfigurationRecord.Snapshot(configuration.toConfiguration()))
    is RecordDocument.Intent ->
        LogRecord.Intent(commandId(workspace, key), VmId(owner), RequestId(request), Fingerprint(fingerprint))
    is RecordDocument.Outcome -> LogRecord.Outcome(commandId(workspace, key), RequestId(request), toResult())
    is RecordDocument.Release -> LogRecord.Release(commandId(workspace, key), RequestId(request))
    is RecordDocument.OfBill -> LogRecord.OfBill(bill.toBill())
}

private fun RecordDocument.Outcome.toResult(): CommandResult =
    status?.let { CommandResult.Answered(it, body.orEmpty()) } ?: CommandResult.Unknown

private fun commandId(workspace: String, key: String): CommandId =
    CommandId(WorkspaceId(workspace), IdempotencyKey(key))
