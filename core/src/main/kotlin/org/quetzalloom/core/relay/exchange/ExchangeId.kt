package org.quetzalloom.core.relay.exchange

/** Names one request of a caller within one start of one relay. */
@JvmInline
public value class ExchangeId(public val value: Long) : Comparable<ExchangeId> {
    override fun compareTo(other: ExchangeId): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
