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
 * A summary of what a router knows, for operators and metrics.
 *
 * @property revision the configuration revision in force at this VM, or 0 before the first.
 * @property ready whether the balancer may send new work.
 * @property draining whether the VM was asked to stop.
 * @property active the requests not answered yet.
 * @property waiting those of [active] that do not run at a backend server.
 * @property unsettledBills bills of this VM that are not known to be in the log.
 * @property keptBills bills kept for peers.
 * @property commands the commands remembered.
 * @property livePeers the peers heard lately.
 * @property running this VM's attempts under way, by backend server that it may send to.
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

/** Returns the summary of this state at [now]. */
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
