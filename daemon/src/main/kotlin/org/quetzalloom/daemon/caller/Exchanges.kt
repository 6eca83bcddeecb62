package org.quetzalloom.daemon.caller

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.channels.Channel
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.identity.RequestId

/** The callers that wait for an answer. Confined to the loop's thread. */
internal class Exchanges {
    private var waiting = persistentMapOf<RequestId, Channel<Effect.OfCaller>>()

    /** Adds a caller who waits at [answers]. */
    fun register(request: RequestId, answers: Channel<Effect.OfCaller>) {
        waiting = waiting.put(request, answers)
    }

    /** Forgets a caller who has left. */
    fun forget(request: RequestId) {
        waiting = waiting.remove(request)
    }

    /** Hands [effect] to the caller it is for, if that one still waits. */
    fun deliver(effect: Effect.OfCaller) {
        val answers = waiting[effect.request] ?: return
        answers.trySend(effect)
        if (effect is Effect.OfCaller.End || effect is Effect.OfCaller.Refuse) {
            answers.close()
            forget(effect.request)
        }
    }
}
