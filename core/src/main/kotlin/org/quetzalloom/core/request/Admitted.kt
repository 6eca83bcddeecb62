package org.quetzalloom.core.request

import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.ledger.CommandId
import org.quetzalloom.core.session.SessionToken

/**
 * What admission resolved about a request.
 *
 * @property versions the versions that the request may run on, ordered by id; not empty.
 * @property command the identity of a call that must not be repeated, or `null` where the request may be repeated.
 * @property token the verified session token, or `null` if the caller sent none.
 */
internal data class Admitted(
    val versions: List<Version>,
    val command: CommandId?,
    val token: SessionToken?,
)
