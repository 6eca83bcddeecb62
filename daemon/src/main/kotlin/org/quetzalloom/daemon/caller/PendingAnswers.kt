package org.quetzalloom.daemon.caller

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.channels.Channel
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.identity.RequestId

/**
 * The channels to the callers that wait for an answer, by request. [AnswerWriter] writes what is sent to a channel.
 *
 * Confined to the loop's thread.
 */
internal class PendingAnswers {
    private var pending = persistentMapOf<RequestId, Channel<Effect.OfCaller>>()

    /**
     * Adds a request whose answer is to be sent to [parts].
     *
     * Must run before the loop handles the arrival of the request, so that no part of the answer is missed.
     */
    fun register(request: RequestId, parts: Channel<Effect.OfCaller>) {
        pending = pending.put(request, parts)
    }

    /** Removes a request whose caller has disconnected. */
    fun remove(request: RequestId) {
        pending = pending.remove(request)
    }

    /**
     * Sends [effect] to the caller of its request, and removes the request if it is the last part of the answer.
     * Does nothing if the caller has disconnected.
     */
    fun deliver(effect: Effect.OfCaller) {
        val parts = pending[effect.request] ?: return
        parts.trySend(effect)
        if (effect is Effect.OfCaller.End || effect is Effect.OfCaller.Refuse) {
            parts.close()
            remove(effect.request)
        }
    }
}
