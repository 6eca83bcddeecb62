package org.quetzalloom.core.billing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.enqueue
import org.quetzalloom.core.router.rendezvousOrNull
import org.quetzalloom.core.router.tell
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Brings each bill into the log, and keeps the bills of peers until they are there.
 *
 * Only bills that are not yet in the log are copied, to one peer, as in delayed parity generation with active data
 * replication (Chandy, "Parity Redundancy Strategies in a Large Scale Distributed Storage System").
 */
internal object BillingPart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.OfPlatform.LogAppended -> state.appended(event.append)
        is Event.PeerTold -> state.told(event, now)
        is Event.Tick -> state.takeOver(now).unchanged()
        else -> state.unchanged()
    }

    private fun RouterState.appended(append: Long): Step {
        val durable = log.recordsOf(append).filterIsInstance<LogRecord.OfBill>().map { it.bill.identity }
        if (durable.isEmpty()) return unchanged()
        val byKeeper = durable.groupBy { billing.unsettled[it] }
        val settled = durable.fold(billing) { reached, identity ->
            reached.copy(unsettled = reached.unsettled.remove(identity), kept = reached.kept.remove(identity))
        }
        val keepers = byKeeper.keys.filterNotNull().sorted()
        return keepers.fold(copy(billing = settled).unchanged()) { reached, keeper ->
            val identities = byKeeper.getValue(keeper).toPersistentList()
            reached.then { it.tell(keeper, PeerMessage.DropBills(identities)) }
        }
    }

    private fun RouterState.told(event: Event.PeerTold, now: Timestamp): Step = when (val message = event.message) {
        is PeerMessage.HoldBills -> hold(event.from, message.bills, now)
        is PeerMessage.BillsHeld -> held(event.from, message.identities).unchanged()
        is PeerMessage.DropBills -> dropped(message.identities).unchanged()
        else -> unchanged()
    }

    private fun RouterState.hold(owner: VmId, bills: PersistentList<Bill>, now: Timestamp): Step {
        val kept = bills.fold(billing.kept) { reached, bill -> reached.put(bill.identity, KeptBill(bill, now)) }
        val identities = bills.map { it.identity }.toPersistentList()
        return copy(billing = billing.copy(kept = kept)).tell(owner, PeerMessage.BillsHeld(identities))
    }

    private fun RouterState.held(keeper: VmId, identities: PersistentList<String>): RouterState {
        val known = identities.filter { it in billing.unsettled }
        val unsettled = known.fold(billing.unsettled) { reached, identity -> reached.put(identity, keeper) }
        return copy(billing = billing.copy(unsettled = unsettled))
    }

    private fun RouterState.dropped(identities: PersistentList<String>): RouterState {
        val kept = identities.fold(billing.kept) { reached, identity -> reached.remove(identity) }
        return copy(billing = billing.copy(kept = kept))
    }

    /** Appends bills that were kept for too long, as their owner may be gone. */
    private fun RouterState.takeOver(now: Timestamp): RouterState {
        val due = billing.kept.values.filter {
            !it.appended && now - it.since >= settings.limits.billTakeoverMilliseconds
        }
        return due.sortedBy { it.bill.identity }.fold(this) { state, kept ->
            val marked = state.billing.kept.put(kept.bill.identity, kept.copy(appended = true))
            state.copy(billing = state.billing.copy(kept = marked)).enqueue(LogRecord.OfBill(kept.bill))
        }
    }
}

/** Returns the transition that sends [bill] on its way into the log, and a copy to a peer. */
internal fun RouterState.issue(bill: Bill, now: Timestamp): Step {
    val issued = copy(billing = billing.copy(unsettled = billing.unsettled.put(bill.identity, null)))
        .enqueue(LogRecord.OfBill(bill))
    val keeper = keeperOrNull(now) ?: return issued.unchanged()
    return issued.tell(keeper, PeerMessage.HoldBills(settings.vm, persistentListOf(bill)))
}

/** Returns the peer that keeps this VM's bills: one in another availability zone where there is one. */
private fun RouterState.keeperOrNull(now: Timestamp): VmId? {
    val live = livePeers(now)
    val elsewhere = live.filter { settings.fleet[it] != settings.zone }
    return rendezvousOrNull(elsewhere.ifEmpty { live }, "bills:${settings.vm}")
}

/** Returns whether [bill] is in the log or kept by a peer. */
internal fun RouterState.isKept(bill: Bill): Boolean =
    bill.identity !in billing.unsettled || billing.unsettled[bill.identity] != null
