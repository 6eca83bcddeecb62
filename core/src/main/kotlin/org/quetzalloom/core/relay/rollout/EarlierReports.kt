package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.peer.ReceivedBeacon
import org.quetzalloom.core.relay.peer.RolloutReport
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Returns the transition that applies what others told of the roll-out of [order] before this router read the order, as
 * after a restart.
 */
internal fun RelayState.applyEarlierReports(order: RolloutOrder, now: Timestamp): RelayStep =
    unchanged().thenEach(peers.lastBeacons.values) { current, received ->
        current.unchanged().thenEach(received.reportsOf(order)) { latest, report ->
            val age = report.ageMilliseconds + (now - received.receivedAt)
            latest.applyReport(received.beacon.vm, report.copy(ageMilliseconds = age), now)
        }
    }

private fun ReceivedBeacon.reportsOf(order: RolloutOrder): List<RolloutReport> =
    beacon.rollouts.filter { it.service == order.service && it.version == order.version }
