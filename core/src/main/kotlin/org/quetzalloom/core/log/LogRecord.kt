package org.quetzalloom.core.log

import org.quetzalloom.core.billing.Bill
import org.quetzalloom.core.configuration.ConfigurationRecord
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.ledger.CommandId
import org.quetzalloom.core.ledger.CommandResult
import org.quetzalloom.core.request.Fingerprint

/** One record of the platform's log. */
public sealed interface LogRecord {
    /** The stream that the record belongs to. */
    public val stream: LogStream

    /** A record of the configuration stream. */
    public data class OfConfiguration(public val record: ConfigurationRecord) : LogRecord {
        override val stream: LogStream get() = LogStream.CONFIGURATION
    }

    /**
     * The wish of [owner] to run [command] for [request]. The first intent of a command gives its owner, and
     * nobody else, the right to send the call once.
     */
    public data class Intent(
        public val command: CommandId,
        public val owner: VmId,
        public val request: RequestId,
        public val fingerprint: Fingerprint,
    ) : LogRecord {
        override val stream: LogStream get() = LogStream.COMMANDS
    }

    /** The end of the run that the intent of [request] allowed. */
    public data class Outcome(
        public val command: CommandId,
        public val request: RequestId,
        public val result: CommandResult,
    ) : LogRecord {
        override val stream: LogStream get() = LogStream.COMMANDS
    }

    /** Tells that the intent of [request] was given up before anything was sent. */
    public data class Release(
        public val command: CommandId,
        public val request: RequestId,
    ) : LogRecord {
        override val stream: LogStream get() = LogStream.COMMANDS
    }

    /** A bill. */
    public data class OfBill(public val bill: Bill) : LogRecord {
        override val stream: LogStream get() = LogStream.BILLS
    }
}
