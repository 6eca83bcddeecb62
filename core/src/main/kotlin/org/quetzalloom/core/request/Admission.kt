package org.quetzalloom.core.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.isFresh
import org.quetzalloom.core.drain.acceptsRequests
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.error.RouterError
import org.quetzalloom.core.ledger.CommandId
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.session.SessionToken
import org.quetzalloom.core.time.Timestamp

/**
 * Checks whether [call] may be served now, and resolves what it needs to go on.
 *
 * The checks run in a fixed order and the first that fails decides the error: readiness of this VM, workspace and
 * target, idempotency key, session token, quarantine, and the limit on active requests.
 */
internal fun RouterState.admit(call: CallerRequest, now: Timestamp): Result<Admitted, RouterError> = binding {
    val current = readyConfiguration(now).bind()
    val versions = current.versionsFor(call).bind()
    val command = current.commandOf(call).bind()
    val token = verifiedTokenOf(call).bind()
    checkQuarantine(call).bind()
    checkActiveRequests(call).bind()
    Admitted(versions, command, token)
}

private fun RouterState.readyConfiguration(now: Timestamp): Result<Configuration, RouterError> {
    val current = configuration.view.current
    return when {
        !acceptsRequests(now) -> Err(RouterError(ErrorKind.SHUTTING_DOWN, "VM '${settings.vm}' is shutting down"))
        current == null || !isFresh(now) -> Err(
            RouterError(ErrorKind.NOT_READY, "VM '${settings.vm}' has no configuration that is known to be current"),
        )
        else -> Ok(current)
    }
}

/**
 * Returns the identity of [call] if its route declares its method as non-repeatable, or `null` if it may be repeated.
 *
 * Fails with [ErrorKind.KEY_MISSING] if such a call has no idempotency key.
 */
private fun Configuration.commandOf(call: CallerRequest): Result<CommandId?, RouterError> {
    val target = call.target as? Target.ServiceCall ?: return Ok(null)
    val repeatable = target.method !in routeOrNull(target.path)?.nonRepeatableMethods.orEmpty()
    val key = call.key
    return when {
        repeatable -> Ok(null)
        key != null -> Ok(CommandId(call.workspace, key))
        else -> Err(
            RouterError(
                ErrorKind.KEY_MISSING,
                "${target.method} ${target.path} may not be repeated and needs an idempotency key",
            ),
        )
    }
}

/** Returns the session token of [call], or `null` if it has none. Checks the signature, workspace and session. */
private fun RouterState.verifiedTokenOf(call: CallerRequest): Result<SessionToken?, RouterError> {
    val text = call.sessionToken ?: return Ok(null)
    val token = SessionToken.parseOrNull(text, settings.sessionSecret)
    return if (token != null && token.workspace == call.workspace && token.session == call.session) {
        Ok(token)
    } else {
        Err(RouterError(ErrorKind.BAD_SESSION_TOKEN, "the session token was not signed for this workspace and session"))
    }
}

private fun RouterState.checkQuarantine(call: CallerRequest): Result<Unit, RouterError> =
    if (quarantine.suspicions[Fingerprint.of(call)]?.quarantined == true) {
        Err(RouterError(ErrorKind.QUARANTINED, "the request took down two backend servers"))
    } else {
        Ok(Unit)
    }

private fun RouterState.checkActiveRequests(call: CallerRequest): Result<Unit, RouterError> {
    val limit = settings.limits.activeRequests
    return if (settings.policies.admission.admits(call.priority, requests.active.size, limit)) {
        Ok(Unit)
    } else {
        Err(RouterError(ErrorKind.OVERLOADED, "${requests.active.size} requests are active"))
    }
}
