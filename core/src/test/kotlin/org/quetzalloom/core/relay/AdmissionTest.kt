package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.relay.admission.Admission
import org.quetzalloom.core.relay.admission.FixedAdmission
import org.quetzalloom.core.relay.admission.ForecastAdmission
import org.quetzalloom.core.relay.admission.Shortage
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.routing.RoutingTable
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What becomes of requests that no backend server can take at once. */
class AdmissionTest {
    private val shop = "key-2"
    private val twoWorkspaces: RoutingTable = RelayRig.table.copy(
        workspacesByKey = persistentMapOf("key-1" to WorkspaceId("bakery"), shop to WorkspaceId("shop")),
    )
    private val command = RelayRig.command.copy(contentHash = 7)

    /** Starts a router whose servers of commands all want no requests for [closedMilliseconds]. */
    private fun closedRig(closedMilliseconds: Long, admission: Admission = ForecastAdmission()): RelayRig {
        val rig = RelayRig(policies = RelayPolicies(admission = admission)).start()
        rig.read(Feed.ORDERS, FeedEntry.Configuration(twoWorkspaces.copy(version = 8)))
        val closed = ResponseHead(503, notRun = true, retryAfterMilliseconds = closedMilliseconds)
        generateSequence(rig.arrive(command.copy(callerId = "first", contentHash = null)).second) { effects ->
            effects.filterIsInstance<RelayEffect.Send>().singleOrNull()?.let { rig.respond(it, closed) }
        }.last()
        return rig
    }

    private fun RelayRig.refusalOrNull(callerId: String, key: String = "key-1"): RelayEffect.Refuse? =
        arrive(command.copy(callerId = callerId, key = key, contentHash = callerId.hashCode().toLong()))
            .second.filterIsInstance<RelayEffect.Refuse>().singleOrNull()

    @Test
    fun `a request is refused at once if every server is closed for longer than it may wait`() {
        val refusal = closedRig(closedMilliseconds = 2_000).refusalOrNull("c-1")
        assertEquals(ErrorKind.NO_CAPACITY, refusal?.kind)
        assertTrue(refusal?.retryAfterMilliseconds in 2_000L..2_500L, "$refusal")
    }

    @Test
    fun `with fixed admission it is held in vain and its caller told to return before there is room`() {
        val rig = closedRig(closedMilliseconds = 2_000, FixedAdmission())
        assertEquals(null, rig.refusalOrNull("c-1"))
        assertEquals(250, rig.pass(300).filterIsInstance<RelayEffect.Refuse>().last().retryAfterMilliseconds)
    }

    @Test
    fun `a request waits if a server opens in time, and is sent to it`() {
        val rig = closedRig(closedMilliseconds = 150)
        assertEquals(null, rig.refusalOrNull("c-1"))
        val sends = rig.pass(240).filterIsInstance<RelayEffect.Send>()
        assertTrue(sends.any { it.exchange.value == 2L }, "$sends")
    }

    /** Forty callers find every server closed for 2 s and return when they are told to. */
    @Test
    fun `callers that are refused together do not return together`() {
        val times = (1..40).mapNotNull { closedRig(2_000).refusalOrNull("c-$it")?.retryAfterMilliseconds }
        val busiest = times.groupingBy { it / 50 }.eachCount().values.max()
        assertEquals(40, times.size)
        assertTrue(busiest <= 20, "$busiest of 40 return within 50 ms")
        val fixed = closedRig(2_000, FixedAdmission())
        (1..40).forEach { fixed.refusalOrNull("c-$it") }
        val fixedTimes = fixed.pass(300).filterIsInstance<RelayEffect.Refuse>().map { it.retryAfterMilliseconds }
        assertEquals(1, fixedTimes.distinct().size)
    }

    /** One workspace sends forty requests and another one three, while no server can take any for a moment. */
    @Test
    fun `a workspace with many times the requests of another is refused what is beyond its share`() {
        fun refused(admission: Admission): Pair<Int, Int> {
            val rig = closedRig(closedMilliseconds = 200, admission)
            val small = (1..3).map { rig.refusalOrNull("s-$it", shop) }
            val large = (1..40).map { rig.refusalOrNull("c-$it") }
            return small.count { it != null } to large.count { it != null }
        }
        assertEquals(0 to 0, refused(FixedAdmission()))
        val (small, large) = refused(ForecastAdmission())
        assertEquals(0, small)
        assertTrue(large in 30..39, "$large of 40 refused")
    }

    @Test
    fun `a workspace beyond its share is refused while another one waits`() {
        val admission = ForecastAdmission()
        val shortage = Shortage(waitLeftMilliseconds = 250)
        assertTrue(admission.mayWait(shortage.copy(waiting = 30, waitingOfWorkspace = 30, waitingWorkspaces = 1)))
        assertTrue(admission.mayWait(shortage.copy(waiting = 8, waitingOfWorkspace = 4, waitingWorkspaces = 8)))
        assertTrue(!admission.mayWait(shortage.copy(waiting = 30, waitingOfWorkspace = 21, waitingWorkspaces = 3)))
        assertTrue(FixedAdmission().mayWait(shortage.copy(waiting = 30, waitingOfWorkspace = 21)))
    }

    @Test
    fun `a caller that returns before its time lets the others wait and is told to return again`() {
        val rig = closedRig(closedMilliseconds = 400)
        assertTrue(rig.refusalOrNull("early") != null)
        rig.pass(200)
        assertEquals(null, rig.refusalOrNull("patient"))
        val again = rig.refusalOrNull("early")
        assertTrue(again?.retryAfterMilliseconds in 200L..1_000L, "$again")
    }

    @Test
    fun `a server with room gets the request of a caller that returns before its time`() {
        val rig = closedRig(closedMilliseconds = 400)
        assertTrue(rig.refusalOrNull("early") != null)
        rig.read(Feed.SERVERS, FeedEntry.Server(RelayRig.server("s-9", RelayRig.plain)))
        assertEquals(null, rig.refusalOrNull("early"))
    }

    @Test
    fun `a request that may have run is not refused early`() {
        val rig = RelayRig().start(RelayRig.plainServers.take(1))
        val send = rig.arrive(RelayRig.read).second.only<RelayEffect.Send>()
        assertTrue(rig.failAttempt(send, AttemptFailure.CONNECTION_LOST).none<RelayEffect.Refuse>())
    }
}
