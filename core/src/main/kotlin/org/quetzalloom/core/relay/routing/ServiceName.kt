package org.quetzalloom.core.relay.routing

/** Names a group of backend servers that serve the same requests. */
@JvmInline
public value class ServiceName(public val value: String) : Comparable<ServiceName> {
    init {
        require(value.isNotEmpty()) { "the name of a service must not be empty" }
    }

    override fun compareTo(other: ServiceName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
