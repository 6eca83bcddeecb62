package org.quetzalloom.core.rig

import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.request.CallerRequest

/**
 * A caller that sends one request and records its answer.
 *
 * @property sentAt the virtual time at which the request was sent, in milliseconds.
 * @property version the version named at the start of the answer, or `null` before that.
 * @property endedAt the virtual time of the end or refusal, or `null` before that.
 * @property endCount how often the answer was ended or refused; more than once is a fault.
 */
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
    var endCount = 0
        private set

    val answer: String get() = text.toString()
    val answered: Boolean get() = endedAt != null && refusal == null
    val pending: Boolean get() = endedAt == null

    /** Whether the answer is complete and the one that the version gives to this request. */
    val correct: Boolean get() = answered && answer == FakeServer.answer(version.orEmpty(), call.body)

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
        endCount += 1
        endedAt = now
    }
}
