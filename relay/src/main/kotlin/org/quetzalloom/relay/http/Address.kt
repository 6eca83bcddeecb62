package org.quetzalloom.relay.http

import io.netty.util.NetUtil
import java.net.InetSocketAddress

/**
 * A network address.
 *
 * @property host an IP address; a host name would be resolved on the thread that uses the address.
 * @throws IllegalArgumentException if the host is not an IP address, or the port is not in 1..65535.
 */
public data class Address(public val host: String, public val port: Int) {
    init {
        require(isIpAddress(host)) { "the host '$host' is not an IP address" }
        require(port in PORTS) { "the port $port is not in $PORTS" }
    }

    /** Returns this address as a socket address. */
    internal fun toSocketAddress(): InetSocketAddress = InetSocketAddress(host, port)

    override fun toString(): String = "$host:$port"

    public companion object {
        private val PORTS = 1..65_535

        /** Parses `host:port`. Returns `null` if the host is not an IP address, or the port is not in 1..65535. */
        public fun parseOrNull(text: String): Address? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull()?.takeIf { it in PORTS }
            return if (port == null || !isIpAddress(host)) null else Address(host, port)
        }

        private const val IPV4_NUMBERS = 4
        private const val IPV4_DIGITS = 3
        private const val IPV4_MAXIMUM = 255

        /**
         * Returns whether [host] is an IP address. Netty is asked for IPv6 only: its class sets up logging, which takes
         * a third of the start, and an address is needed to bind the callers' socket before that.
         */
        private fun isIpAddress(host: String): Boolean =
            isIpV4Address(host) || (':' in host && NetUtil.isValidIpV6Address(host))

        private fun isIpV4Address(host: String): Boolean {
            val numbers = host.split('.')
            return numbers.size == IPV4_NUMBERS && numbers.all { isIpV4Number(it) }
        }

        private fun isIpV4Number(text: String): Boolean =
            text.length in 1..IPV4_DIGITS && text.all { it in '0'..'9' } && text.toInt() <= IPV4_MAXIMUM
    }
}
