package org.quetzalloom.core.router

import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.core.timeline.CausalStamp
import org.quetzalloom.core.timeline.TimelineEntry

/** The next state of a router together with the effects to carry out. */
internal typealias Step = Transition<RouterState, Effect>

/** One of the reducers that [RouterReducer] is composed of. It may read the whole state and owns one slice of it. */
internal fun interface Part : Reducer<RouterState, Event, Effect>

/** Returns the transition that keeps this state and has no effects. */
internal fun RouterState.unchanged(): Step = Transition(this)

/** Returns the transition to this state with [effects], in order. */
internal fun RouterState.with(vararg effects: Effect): Step = Transition(this, persistentListOf(*effects))

/**
 * Returns the transition that adds an entry called [name] to the time line, under the next causal stamp.
 *
 * The most decisive fields come first. Fields whose value is `null` are left out.
 */
internal fun RouterState.report(now: Timestamp, name: String, vararg fields: Pair<String, Any?>): Step {
    val next = copy(stamp = stamp + 1)
    val entry = TimelineEntry.of(CausalStamp(counter = next.stamp, vm = settings.vm), now, name, fields)
    return next.with(Effect.Report(entry))
}

/** Returns the transition that sends [message] to [peer], under the next causal stamp. */
internal fun RouterState.sendToPeer(peer: VmId, message: PeerMessage): Step {
    val next = copy(stamp = stamp + 1)
    return next.with(Effect.SendToPeer(to = peer, stamp = next.stamp, message = message))
}

/** Returns the transition that sends [message] to each of [peers], in the order of their identifiers. */
internal fun RouterState.sendToPeers(peers: Iterable<VmId>, message: PeerMessage): Step =
    peers.sorted().fold(unchanged()) { transition, peer ->
        val sent = transition.state.sendToPeer(peer, message)
        Transition(sent.state, transition.effects.addAll(sent.effects))
    }

/** Returns the state with [record] at the end of the queue of records to append to the log. */
internal fun RouterState.enqueue(record: LogRecord): RouterState = copy(log = log.enqueue(record))
