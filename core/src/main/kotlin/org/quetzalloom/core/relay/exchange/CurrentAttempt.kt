package org.quetzalloom.core.relay.exchange

/** An exchange, and its attempt that is under way. */
internal data class CurrentAttempt(val exchange: Exchange, val attempt: Attempt)
