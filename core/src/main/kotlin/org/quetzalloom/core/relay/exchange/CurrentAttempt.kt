package org.quetzalloom.core.relay.exchange

/** An exchange and its attempt in flight. */
internal data class CurrentAttempt(val exchange: Exchange, val attempt: Attempt)
