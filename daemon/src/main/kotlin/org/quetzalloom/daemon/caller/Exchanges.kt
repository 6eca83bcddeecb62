package org.quetzalloom.daemon.caller

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.channels.Channel
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.identity.RequestId

/** The callers that wait for an answer. Confined to the loop's thread. */
internal class Exchanges {
    private var pending = persistentMapOf<RequestId, Channel<Effect.OfCaller>>()

    /** Adds a caller who waits at [parts]. */
    fun register(request: RequestId, parts: Channel<Effect.OfCaller>) {
        pending = pending.put(request, parts)
    }

    /** Forgets a caller who has left. */
    fun remove(request: RequestId) {
        pending = pending.remove(request)
    }

    /** Hands [effect] to the caller it is for, if that one still waits. */
    fun deliver(effect: Effect.OfCaller) {
        val parts = pending[effect.request] ?: return
        parts.trySend(effect)
        if (effect is Effect.OfCaller.End || effect is Effect.OfCaller.Refuse) {
            parts.close()
            remove(effect.request)
        }
    }
}
