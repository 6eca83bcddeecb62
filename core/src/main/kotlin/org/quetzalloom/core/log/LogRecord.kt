package org.quetzalloom.core.log

import org.quetzalloom.core.billing.Bill
import org.quetzalloom.core.configuration.ConfigurationRecord
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.ledger.CommandId
import org.quetzalloom.core.ledger.CommandResult
import org.quetzalloom.core.request.Fingerprint

/** A record of the platform's log. */
public sealed interface LogRecord {
    /** The stream that the record belongs to. */
    public val stream: LogStream

    /** A record of the configuration stream. */
    public data class OfConfiguration(public val record: ConfigurationRecord) : LogRecord {
        override val stream: LogStream get() = LogStream.CONFIGURATION
    }

    /**
     * A claim of [owner] to run [command] for [request].
     *
     * The first intent of a command in the log gives its owner, and no other VM, the right to send the call once. If it
     * is released, the next intent after the release takes its place.
     *
     * @property fingerprint identifies the content of the request, to detect a key that is reused for another one.
     */
    public data class Intent(
        public val command: CommandId,
        public val owner: VmId,
        public val request: RequestId,
        public val fingerprint: Fingerprint,
    ) : LogRecord {
        override val stream: LogStream get() = LogStream.COMMANDS
    }

    /** The [result] of the call that the intent of [request] gave the right to send. */
    public data class Outcome(
        public val command: CommandId,
        public val request: RequestId,
        public val result: CommandResult,
    ) : LogRecord {
        override val stream: LogStream get() = LogStream.COMMANDS
    }

    /** Withdraws the intent of [request], which was abandoned before the call was sent. */
    public data class Release(
        public val command: CommandId,
        public val request: RequestId,
    ) : LogRecord {
        override val stream: LogStream get() = LogStream.COMMANDS
    }

    /** A record of the bills stream. */
    public data class OfBill(public val bill: Bill) : LogRecord {
        override val stream: LogStream get() = LogStream.BILLS
    }
}
