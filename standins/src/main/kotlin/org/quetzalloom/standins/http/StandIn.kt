package org.quetzalloom.standins.http

import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition

/** A small program in place of an outside system: a reducer over HTTP requests. */
interface StandIn<S : Any> : Reducer<S, HttpEvent, HttpEffect> {
    /** The state at the start. */
    val initial: S

    /** Whether bodies are bytes; they are then shown as text with one character a byte. */
    val hasBinaryBodies: Boolean get() = false
}

/** Returns the transition to this state that changes nothing else. */
internal fun <S> S.unchanged(): Transition<S, HttpEffect> = Transition(this)

/** Returns the transition to this state with [effects]. */
internal fun <S> S.with(vararg effects: HttpEffect): Transition<S, HttpEffect> =
    Transition(this, persistentListOf(*effects))

/** Returns the answer to a request that the stand-in does not know. */
internal fun HttpCall.notFound(): HttpEffect =
    HttpEffect.Respond(exchangeId, status = 404, body = "$method $path is not served here")
