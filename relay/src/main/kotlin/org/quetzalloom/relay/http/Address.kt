package org.quetzalloom.relay.http

import java.net.InetSocketAddress

/**
 * Where a process listens.
 *
 * @property host an IP number; names are not looked up.
 */
public data class Address(public val host: String, public val port: Int) {
    init {
        require(host.isNotEmpty()) { "the host of an address must not be empty" }
        require(port in PORTS) { "the port $port is not in $PORTS" }
    }

    /** Returns the form that sockets take. */
    internal fun toSocketAddress(): InetSocketAddress = InetSocketAddress(host, port)

    override fun toString(): String = "$host:$port"

    public companion object {
        private val PORTS = 1..65_535

        /** Returns the address written as `host:port`, or `null` if [text] is none. */
        public fun parseOrNull(text: String): Address? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull()?.takeIf { it in PORTS }
            return if (host.isEmpty() || port == null) null else Address(host, port)
        }
    }
}
