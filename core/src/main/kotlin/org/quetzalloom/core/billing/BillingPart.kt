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
 * Appends each bill to the log. A bill that is not in the log after `billLogWaitMilliseconds` is replicated to backup
 * peers.
 *
 * Replication is temporary: only bills that are not in the log yet are copied, and the copies are dropped as soon as
 * they are. This follows delayed parity generation with active data replication (Chandy, "Parity Redundancy Strategies
 * in a Large Scale Distributed Storage System").
 */
internal object BillingPart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.OfPlatform.LogAppended -> state.onAppended(event.append)
        is Event.FromPeer -> state.onPeerMessage(event, now)
        is Event.Tick -> state.appendOrphaned(now).replicateDue(now)
        else -> state.unchanged()
    }

    /** Removes the bills whose append has completed, and tells the peers to which they were last sent to drop them. */
    private fun RouterState.onAppended(append: Long): Step {
        val durable = log.recordsInFlight(append).filterIsInstance<LogRecord.OfBill>().map { it.bill.identity }
        val copies = durable.flatMap { identity ->
            billing.unsettled[identity]?.sentTo.orEmpty().map { backup -> backup to identity }
        }
        val remaining = durable.fold(billing) { updated, identity ->
            updated.copy(unsettled = updated.unsettled.remove(identity), kept = updated.kept.remove(identity))
        }
        val byBackup = copies.groupBy({ it.first }, { it.second }).toSortedMap()
        return copy(billing = remaining).unchanged().thenEach(byBackup.entries) { state, (backup, identities) ->
            state.sendToPeer(backup, PeerMessage.DropBills(identities.toPersistentList()))
        }
    }

    private fun RouterState.onPeerMessage(
        event: Event.FromPeer,
        now: Timestamp,
    ): Step = when (val message = event.message) {
        is PeerMessage.HoldBills -> onHoldBills(event.from, message.bills, now)
        is PeerMessage.BillsHeld -> onBillsHeld(event.from, message.identities).unchanged()
        is PeerMessage.DropBills -> onDropBills(message.identities).unchanged()
        else -> unchanged()
    }

    /** Keeps copies of the bills of [owner] and confirms them; copies that are kept already are confirmed again. */
    private fun RouterState.onHoldBills(owner: VmId, bills: PersistentList<Bill>, now: Timestamp): Step {
        val kept = bills.filter { it.identity !in billing.kept }
            .fold(billing.kept) { kept, bill -> kept.put(bill.identity, KeptBill(bill, now)) }
        val identities = bills.map { it.identity }.toPersistentList()
        return copy(billing = billing.copy(kept = kept)).sendToPeer(owner, PeerMessage.BillsHeld(identities))
    }

    /** Records that [backup] holds copies of the bills [identities]; bills that are in the log already are skipped. */
    private fun RouterState.onBillsHeld(backup: VmId, identities: PersistentList<String>): RouterState {
        val unsettled = identities.fold(billing.unsettled) { bills, identity ->
            bills[identity]?.let { bills.put(identity, it.copy(confirmedBy = it.confirmedBy.add(backup))) } ?: bills
        }
        return copy(billing = billing.copy(unsettled = unsettled))
    }

    /** Drops copies whose bills are in the log. */
    private fun RouterState.onDropBills(identities: PersistentList<String>): RouterState {
        val kept = identities.fold(billing.kept) { bills, identity -> bills.remove(identity) }
        return copy(billing = billing.copy(kept = kept))
    }

    /**
     * Appends the bills of peers that were kept for `billTakeoverMilliseconds`, because their owner may be gone.
     *
     * If the owner appends such a bill as well, the second one is a duplicate and does not count.
     */
    private fun RouterState.appendOrphaned(now: Timestamp): RouterState {
        val due = billing.kept.values.filter {
            !it.appended && now - it.receivedAt >= settings.limits.billTakeoverMilliseconds
        }
        return due.sortedBy { it.bill.identity }.fold(this) { state, kept ->
            val marked = state.billing.kept.put(kept.bill.identity, kept.copy(appended = true))
            state.copy(billing = state.billing.copy(kept = marked)).enqueue(LogRecord.OfBill(kept.bill))
        }
    }

    /** Sends the bills that need replication to the backup peers; again if not all of these confirm them in time. */
    private fun RouterState.replicateDue(now: Timestamp): Step {
        val due = billing.unsettled.values.filter { needsReplication(it, now) }.sortedBy { it.bill.identity }
        val backups = if (due.isEmpty()) emptyList() else billBackups(now)
        if (backups.isEmpty()) return unchanged()
        val sent = due.fold(billing.unsettled) { bills, each ->
            bills.put(each.bill.identity, each.copy(sentTo = each.sentTo.clear().addAll(backups), sentAt = now))
        }
        val message = PeerMessage.HoldBills(settings.vm, due.map { it.bill }.toPersistentList())
        return copy(billing = billing.copy(unsettled = sent)).unchanged()
            .thenEach(backups) { state, backup -> state.sendToPeer(backup, message) }
    }

    /**
     * Returns whether [bill], which is not in the log, must be sent to backup peers now: it was issued at least
     * `billLogWaitMilliseconds` ago, is not replicated, and was not sent within the last [RESEND_INTERVAL_FACTOR] times
     * this duration.
     */
    private fun RouterState.needsReplication(bill: UnsettledBill, now: Timestamp): Boolean {
        val logWaitMilliseconds = settings.limits.billLogWaitMilliseconds
        val sentBefore = bill.sentTo.isNotEmpty()
        return now - bill.issuedAt >= logWaitMilliseconds &&
            !bill.isReplicated &&
            (!sentBefore || now - bill.sentAt >= logWaitMilliseconds * RESEND_INTERVAL_FACTOR)
    }

    private const val RESEND_INTERVAL_FACTOR = 4
}

/** Returns the state with [bill] queued for the log; it is unsettled until its append completes. */
internal fun RouterState.issueBill(bill: Bill, now: Timestamp): RouterState {
    val unsettled = billing.unsettled.put(bill.identity, UnsettledBill(bill, issuedAt = now))
    return copy(billing = billing.copy(unsettled = unsettled)).enqueue(LogRecord.OfBill(bill))
}

/** Returns whether [bill], a bill of this VM, is known to be in the log. */
internal fun RouterState.isBillInLog(bill: Bill): Boolean = bill.identity !in billing.unsettled

/** Returns whether all backup peers that [bill] was sent to hold a copy; `false` once it is in the log. */
internal fun RouterState.isReplicated(bill: Bill): Boolean = billing.unsettled[bill.identity]?.isReplicated == true
