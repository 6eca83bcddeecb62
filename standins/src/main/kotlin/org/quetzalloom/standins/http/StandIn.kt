package org.quetzalloom.standins.http

import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition

/** A simulation of an external system for tests and demos: a reducer over HTTP requests. */
interface StandIn<S : Any> : Reducer<S, HttpEvent, HttpEffect> {
    /** The state before the first event. */
    val initial: S

    /**
     * Whether bodies of requests and responses are bytes instead of JSON text.
     *
     * In [HttpCall] and [HttpEffect] such a body is a string with one character per byte (ISO 8859-1).
     */
    val hasBinaryBodies: Boolean get() = false
}

/** Returns the transition to this state without effects. */
internal fun <S> S.unchanged(): Transition<S, HttpEffect> = Transition(this)

/** Returns the transition to this state with [effects]. */
internal fun <S> S.with(vararg effects: HttpEffect): Transition<S, HttpEffect> =
    Transition(this, persistentListOf(*effects))

/** Returns the response to a request for an unknown method and path: status 404. */
internal fun HttpCall.notFound(): HttpEffect =
    HttpEffect.Respond(exchangeId, status = 404, body = "there is no $method $path")
