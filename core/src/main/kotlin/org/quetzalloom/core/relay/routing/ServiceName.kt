package org.quetzalloom.core.relay.routing

/** The name of a service, a group of backend servers that serve the same requests; not empty. */
@JvmInline
public value class ServiceName(public val value: String) : Comparable<ServiceName> {
    init {
        require(value.isNotEmpty()) { "the name of a service must not be empty" }
    }

    override fun compareTo(other: ServiceName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
