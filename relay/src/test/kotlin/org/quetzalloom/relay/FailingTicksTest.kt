package org.quetzalloom.relay

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.relay.RelayPolicies
import org.quetzalloom.core.relay.admission.Admission
import org.quetzalloom.core.relay.admission.ForecastAdmission
import org.quetzalloom.core.relay.admission.Shortage
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A relay whose ticks failed went on to be ready, without deadlines and without news, until someone restarted it. */
class FailingTicksTest {
    /** Fails on each tick while a request waits, once it is [broken]. */
    private class BreakableAdmission : Admission by ForecastAdmission() {
        @Volatile
        var broken = false

        override fun mayWait(shortage: Shortage): Boolean = !broken || error("the admission is broken")
    }

    @Test
    fun `a relay whose ticks fail is not ready, answers its callers and ends as failed`() {
        val admission = BreakableAdmission()
        TestRelay(policies = RelayPolicies(admission = admission)).use { relay ->
            relay.change(version = 2) { table ->
                val routes = table.routes.map { it.copy(timeoutMilliseconds = LONG_MILLISECONDS) }
                table.copy(routes = routes.toPersistentList())
            }
            relay.connect().use { caller ->
                caller.send("GET /look/1 HTTP/1.1\r\nHost: app\r\nId: a\r\n\r\n")
                Thread.sleep(ARRIVAL_MILLISECONDS)
                admission.broken = true
                val end = CompletableFuture.supplyAsync { relay.awaitTermination() }
                assertTrue(caller.readAll().startsWith("HTTP/1.1 503 "))
                assertFalse(relay.isReady)
                assertFalse(end.get(LONGER_THAN_END_MILLISECONDS, TimeUnit.MILLISECONDS))
            }
        }
    }

    private companion object {
        const val ARRIVAL_MILLISECONDS = 300L

        /** A request with so much time waits for longer than it takes a relay to end. */
        const val LONG_MILLISECONDS = 20_000L
        const val LONGER_THAN_END_MILLISECONDS = 4_000L
    }
}
