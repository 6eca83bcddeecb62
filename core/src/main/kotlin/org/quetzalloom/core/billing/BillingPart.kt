package org.quetzalloom.core.billing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.enqueue
import org.quetzalloom.core.router.sendToPeer
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Brings each bill into the log. A bill that is not there soon is copied to peers, who keep it until it is.
 *
 * Only what is not yet in the log is copied, and dropped once it is, as in delayed parity generation with active
 * data replication (Chandy, "Parity Redundancy Strategies in a Large Scale Distributed Storage System").
 */
internal object BillingPart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.OfPlatform.LogAppended -> state.appended(event.append)
        is Event.FromPeer -> state.told(event, now)
        is Event.Tick -> state.takeOver(now).copyOverdue(now)
        else -> state.unchanged()
    }

    private fun RouterState.appended(append: Long): Step {
        val durable = log.recordsInFlight(append).filterIsInstance<LogRecord.OfBill>().map { it.bill.identity }
        val copies = durable.flatMap { identity ->
            billing.unsettled[identity]?.sentTo.orEmpty().map { keeper -> keeper to identity }
        }
        val settled = durable.fold(billing) { reached, identity ->
            reached.copy(unsettled = reached.unsettled.remove(identity), kept = reached.kept.remove(identity))
        }
        val byKeeper = copies.groupBy({ it.first }, { it.second }).toSortedMap()
        return copy(billing = settled).unchanged().thenEach(byKeeper.entries) { state, (keeper, identities) ->
            state.sendToPeer(keeper, PeerMessage.DropBills(identities.toPersistentList()))
        }
    }

    private fun RouterState.told(event: Event.FromPeer, now: Timestamp): Step = when (val message = event.message) {
        is PeerMessage.HoldBills -> hold(event.from, message.bills, now)
        is PeerMessage.BillsHeld -> held(event.from, message.identities).unchanged()
        is PeerMessage.DropBills -> dropped(message.identities).unchanged()
        else -> unchanged()
    }

    private fun RouterState.hold(owner: VmId, bills: PersistentList<Bill>, now: Timestamp): Step {
        val kept = bills.filter { it.identity !in billing.kept }
            .fold(billing.kept) { reached, bill -> reached.put(bill.identity, KeptBill(bill, now)) }
        val identities = bills.map { it.identity }.toPersistentList()
        return copy(billing = billing.copy(kept = kept)).sendToPeer(owner, PeerMessage.BillsHeld(identities))
    }

    private fun RouterState.held(keeper: VmId, identities: PersistentList<String>): RouterState {
        val unsettled = identities.fold(billing.unsettled) { reached, identity ->
            reached[identity]?.let { reached.put(identity, it.copy(keptBy = it.keptBy.add(keeper))) } ?: reached
        }
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

    /** Asks peers to keep the bills that are not in the log in time, and asks again where that was not confirmed. */
    private fun RouterState.copyOverdue(now: Timestamp): Step {
        val due = billing.unsettled.values.filter { isOverdue(it, now) }.sortedBy { it.bill.identity }
        val keepers = if (due.isEmpty()) emptyList() else billKeepers(now)
        if (keepers.isEmpty()) return unchanged()
        val sent = due.fold(billing.unsettled) { reached, each ->
            reached.put(each.bill.identity, each.copy(sentTo = each.sentTo.clear().addAll(keepers), sentAt = now))
        }
        val message = PeerMessage.HoldBills(settings.vm, due.map { it.bill }.toPersistentList())
        return copy(billing = billing.copy(unsettled = sent)).unchanged()
            .thenEach(keepers) { state, keeper -> state.sendToPeer(keeper, message) }
    }

    private fun RouterState.isOverdue(bill: UnsettledBill, now: Timestamp): Boolean {
        val hold = settings.limits.billLogWaitMilliseconds
        val asked = bill.sentTo.isNotEmpty()
        return now - bill.since >= hold && !bill.isKept && (!asked || now - bill.sentAt >= hold * RESEND_HOLDS)
    }

    private const val RESEND_HOLDS = 4
}

/** Returns the state with [bill] on its way into the log. */
internal fun RouterState.issue(bill: Bill, now: Timestamp): RouterState {
    val unsettled = billing.unsettled.put(bill.identity, UnsettledBill(bill, since = now))
    return copy(billing = billing.copy(unsettled = unsettled)).enqueue(LogRecord.OfBill(bill))
}

/** Returns whether [bill] is in the log. */
internal fun RouterState.isInLog(bill: Bill): Boolean = bill.identity !in billing.unsettled

/** Returns whether peers keep copies of [bill]. */
internal fun RouterState.isKept(bill: Bill): Boolean = billing.unsettled[bill.identity]?.isKept == true
