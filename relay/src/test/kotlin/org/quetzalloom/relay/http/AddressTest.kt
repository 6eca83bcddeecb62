package org.quetzalloom.relay.http

import io.netty.util.NetUtil
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.CharRange
import net.jqwik.api.constraints.Chars
import net.jqwik.api.constraints.StringLength
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class AddressTest {
    @Test
    fun `an address of either version is parsed`() {
        assertEquals(Address("10.1.0.40", 8227), Address.parseOrNull("10.1.0.40:8227"))
        assertEquals("2001:db8::1", Address.parseOrNull("2001:db8::1:8227")?.host)
    }

    @Test
    fun `a host name or a wrong number is not parsed`() {
        val wrong = listOf(
            "router.example",
            "10.1.0",
            "10.1.0.256",
            "10.1.0.1.2",
            "10.1..2",
            "",
            "1e1.1.1.1",
            "-1.1.1.1",
        )
        wrong.forEach { assertNull(Address.parseOrNull("$it:80"), it) }
    }

    @Property
    fun `numbers and dots are an address exactly if Netty takes them for one`(
        @ForAll @CharRange(from = '0', to = '9') @Chars('.', '.', '.', '/') @StringLength(max = 16) host: String,
    ) {
        assertEquals(NetUtil.isValidIpV4Address(host), Address.parseOrNull("$host:80") != null, host)
    }

    @Property
    fun `four numbers are an address exactly if Netty takes them for one`(
        @ForAll @CharRange(from = '0', to = '9') @StringLength(min = 1, max = 4) first: String,
        @ForAll @CharRange(from = '0', to = '9') @StringLength(min = 1, max = 3) last: String,
    ) {
        val host = "$first.0.10.$last"
        assertEquals(NetUtil.isValidIpV4Address(host), Address.parseOrNull("$host:80") != null, host)
    }
}
