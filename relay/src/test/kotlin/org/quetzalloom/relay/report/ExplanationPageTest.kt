package org.quetzalloom.relay.report

import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.RelaySettings
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.relay.http.StatusServer.Page
import org.quetzalloom.relay.http.StatusServer.PageRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Tests the page that says where a request would go. */
class ExplanationPageTest {
    private val settings = RelaySettings(
        vm = VmId("vm-1"),
        zone = AvailabilityZoneId("zone-a"),
        graceMilliseconds = 8_000,
        retryRatio = 0.9,
        retryWindowMilliseconds = 10_000,
        retrySlack = 54.0,
        exposureLimit = 0.15,
        sessionIdleTimeoutMilliseconds = 5_000,
    )
    private val page = ExplanationPage({ Timestamp(1_000_000) }) { RelayState.initial(settings) }

    private fun ask(uri: String, isLocal: Boolean = true): Page? = page.pageOrNull(PageRequest(uri, isLocal))

    @Test
    fun `a request before the first configuration would be refused`() {
        val answer = ask("/explain?host=app.example&path=/draft/1&prompt=c035:800,91bd:410&session=s-1")
        assertEquals(HttpResponseStatus.OK, answer?.status)
        val verdict = Json.parseToJsonElement(answer?.text.orEmpty()).jsonObject["verdict"]?.jsonObject
        assertEquals("refused" to "200", verdict?.let { it.text("outcome") to it.text("retry_after_ms") })
    }

    private fun JsonObject.text(name: String): String? =
        get(name)?.jsonPrimitive?.content

    @Test
    fun `only callers on the same machine are answered`() {
        assertEquals(HttpResponseStatus.FORBIDDEN, ask("/explain?host=app.example&path=/", isLocal = false)?.status)
    }

    @Test
    fun `a question that cannot be read is answered with what is wrong`() {
        val questions = listOf(
            "/explain",
            "/explain?host=app.example",
            "/explain?host=h&path=/&prompt=c035",
            "/explain?host=h&path=/&workspace=nobody",
            "/explain?host=h&path=/&time_left_ms=soon",
        )
        questions.forEach { assertEquals(HttpResponseStatus.BAD_REQUEST, ask(it)?.status, it) }
    }

    @Test
    fun `other pages are left to others`() {
        assertNull(ask("/metrics"))
        assertNull(ask("/"))
    }
}
