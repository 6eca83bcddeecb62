package org.quetzalloom.core.router

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.configuration.isFresh
import org.quetzalloom.core.drain.acceptsRequests
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.time.Timestamp

/**
 * A summary of the state of a router, for operators and metrics.
 *
 * @property revision the configuration revision in force at this VM, or 0 until one is known.
 * @property ready whether the load balancer may send new requests to this VM.
 * @property draining whether shutdown was requested.
 * @property active the number of unanswered requests.
 * @property waiting the number of those that are not running at a backend server.
 * @property unsettledBills the number of bills of this VM that are not known to be in the log.
 * @property keptBills the number of bills kept for peers.
 * @property commands the number of remembered commands, which are calls that may run at most once.
 * @property livePeers the peers that were heard from lately and are not about to leave.
 * @property running the number of attempts in flight from this VM to each backend server that it may send to.
 */
public data class RouterStatus(
    public val vm: VmId,
    public val revision: Long,
    public val ready: Boolean,
    public val draining: Boolean,
    public val active: Int,
    public val waiting: Int,
    public val unsettledBills: Int,
    public val keptBills: Int,
    public val commands: Int,
    public val livePeers: List<VmId>,
    public val running: PersistentMap<BackendServerId, Int>,
)

/** Returns a summary of this state at [now]. */
public fun RouterState.status(now: Timestamp): RouterStatus = RouterStatus(
    vm = settings.vm,
    revision = configuration.view.revision,
    ready = drain.since == null && isFresh(now) && acceptsRequests(now),
    draining = drain.since != null,
    active = requests.active.size,
    waiting = requests.waiting.size,
    unsettledBills = billing.unsettled.size,
    keptBills = billing.kept.size,
    commands = ledger.entries.size,
    livePeers = livePeers(now),
    running = backends.subset.keys.associateWith { backends.healthOf(it).running }.toPersistentMap(),
)
