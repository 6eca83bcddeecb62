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

/** The transitions of a router. */
internal typealias Step = Transition<RouterState, Effect>

/** A part of the reducer: it reads the whole state and decides over its own slice. */
internal fun interface Part : Reducer<RouterState, Event, Effect>

/** Returns the transition that changes nothing. */
internal fun RouterState.unchanged(): Step = Transition(this)

/** Returns the transition to this state with [effects]. */
internal fun RouterState.with(vararg effects: Effect): Step = Transition(this, persistentListOf(*effects))

/** Returns the transition that reports what happened, with the next causal stamp. */
internal fun RouterState.report(now: Timestamp, name: String, vararg fields: Pair<String, Any?>): Step {
    val next = copy(stamp = stamp + 1)
    val entry = TimelineEntry.of(CausalStamp(counter = next.stamp, vm = settings.vm), now, name, fields)
    return next.with(Effect.Report(entry))
}

/** Returns the transition that sends [message] to [peer]. */
internal fun RouterState.sendToPeer(peer: VmId, message: PeerMessage): Step {
    val next = copy(stamp = stamp + 1)
    return next.with(Effect.Tell(to = peer, stamp = next.stamp, message = message))
}

/** Returns the transition that sends [message] to each of [peers]. */
internal fun RouterState.sendToPeers(peers: Iterable<VmId>, message: PeerMessage): Step =
    peers.sorted().fold(unchanged()) { transition, peer ->
        val sent = transition.state.sendToPeer(peer, message)
        Transition(sent.state, transition.effects.addAll(sent.effects))
    }

/** Returns the state with [record] waiting to be appended to the log. */
internal fun RouterState.enqueue(record: LogRecord): RouterState = copy(log = log.enqueue(record))
