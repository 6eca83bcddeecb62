package org.quetzalloom.core.request

import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.router.with
import org.quetzalloom.core.session.SessionToken

/**
 * Sends the start of the answer to the caller of [request], unless that was done before.
 *
 * If [request] is pinned to the version of its session, the start carries a signed session token.
 */
internal fun RouterState.beginAnswerOnce(request: ActiveRequest): Step {
    if (request.answerStarted) return unchanged()
    val token = request.call.session?.takeIf { request.pinned }
        ?.let { SessionToken(request.call.workspace, it, request.version).format(settings.sessionSecret) }
    return sendToCaller(request, Effect.OfCaller.Begin(request.id, request.version, token))
}

/** Returns the transition that sends [effect] to the caller of [request], unless the caller has left. */
internal fun RouterState.sendToCaller(request: ActiveRequest, effect: Effect.OfCaller): Step =
    if (request.callerLeft) unchanged() else with(effect)
