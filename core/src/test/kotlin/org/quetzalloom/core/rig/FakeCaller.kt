package org.quetzalloom.core.rig

import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.request.CallerRequest

/** One request as its caller sees it. */
class FakeCaller(val request: RequestId, val call: CallerRequest, val sentAt: Long) {
    private val text = StringBuilder()

    var version: String? = null
        private set
    var sessionToken: String? = null
        private set
    var endedAt: Long? = null
        private set
    var refusal: ErrorKind? = null
        private set
    var ends = 0
        private set

    val answer: String get() = text.toString()
    val answered: Boolean get() = endedAt != null && refusal == null
    val pending: Boolean get() = endedAt == null

    /** Whether the answer is complete and the right one. */
    val whole: Boolean get() = answered && answer == FakeServer.answer(version.orEmpty(), call.body)

    fun receive(effect: Effect.OfCaller, now: Long) {
        when (effect) {
            is Effect.OfCaller.Begin -> {
                version = effect.version.value
                sessionToken = effect.sessionToken
            }
            is Effect.OfCaller.Chunk -> text.append(effect.text)
            is Effect.OfCaller.End -> end(now)
            is Effect.OfCaller.Refuse -> {
                refusal = effect.error.kind
                end(now)
            }
        }
    }

    private fun end(now: Long) {
        ends += 1
        endedAt = now
    }
}
