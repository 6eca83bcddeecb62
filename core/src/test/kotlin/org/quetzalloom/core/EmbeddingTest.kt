package org.quetzalloom.core

import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.rig.Fleet
import org.quetzalloom.core.router.RouterReducer
import org.quetzalloom.core.router.RouterSettings
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.time.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Runs the example of the embedding guide: a caller drives the reducer without a daemon. */
class EmbeddingTest {
    private val settings = RouterSettings(
        vm = VmId("vm-1"),
        incarnation = "start-1",
        fleet = persistentMapOf(VmId("vm-1") to AvailabilityZoneId("zone-a")),
        sessionSecret = "secret",
    )

    private fun run(): List<Effect> {
        val events = listOf(Event.Tick, Event.OfCaller.Arrived(RequestId("r"), Fleet.completion("bread")), Event.Tick)
        var state = RouterState.initial(settings)
        var now = Timestamp(1_000)
        return events.flatMap { event ->
            val transition = RouterReducer.reduce(state, event, now)
            state = transition.state
            now += 20
            transition.effects
        }
    }

    @Test
    fun aRouterWithoutConfigurationRefusesAndReadsTheLog() {
        val effects = run()
        assertTrue(effects.any { it is Effect.OfPlatform.Read })
        assertEquals(1, effects.filterIsInstance<Effect.OfCaller.Refuse>().size)
    }

    @Test
    fun theSameEventsGiveTheSameEffects() = assertEquals(run(), run())
}
