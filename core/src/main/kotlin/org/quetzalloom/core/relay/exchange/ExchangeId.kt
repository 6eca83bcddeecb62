package org.quetzalloom.core.relay.exchange

/** Identifies a caller's request; unique within one run of one router process. */
@JvmInline
public value class ExchangeId(public val value: Long) : Comparable<ExchangeId> {
    override fun compareTo(other: ExchangeId): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
