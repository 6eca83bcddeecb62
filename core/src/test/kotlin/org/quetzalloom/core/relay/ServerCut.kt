package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.exchange.AttemptFailure

/**
 * How the attempts of a router end that reaches no backend server of a [RelayFleet].
 *
 * @param connectMilliseconds how long it takes until a new connection fails.
 * @param hangingConnections the number of kept connections to each server on which nothing arrives any more; 0 if they
 *   have been closed.
 */
class ServerCut(private val connectMilliseconds: Long, private val hangingConnections: Int) {
    private val used = mutableMapOf<String, Int>()

    /** Delivers what becomes of the attempt of [effect] at [server], each event with a delay in milliseconds. */
    fun send(server: String, effect: RelayEffect.Send, deliver: (RelayEvent, Long) -> Unit) {
        val hangs = used.merge(server, 1, Int::plus)?.let { it <= hangingConnections } ?: false
        val timeout = effect.parameters.startTimeoutMilliseconds
        when {
            !hangs -> {
                val failure = AttemptFailure.NOT_CONNECTED
                deliver(RelayEvent.AttemptFailed(effect.exchange, effect.attempt, failure), connectMilliseconds)
            }
            timeout != null ->
                deliver(RelayEvent.AttemptStalled(effect.exchange, effect.attempt), timeout)
        }
    }
}
