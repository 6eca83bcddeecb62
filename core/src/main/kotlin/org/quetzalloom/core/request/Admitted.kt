package org.quetzalloom.core.request

import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.ledger.CommandId
import org.quetzalloom.core.session.SessionToken

/** What a request that may be taken needs to go on. */
internal data class Admitted(
    val versions: List<Version>,
    val command: CommandId?,
    val token: SessionToken?,
)
