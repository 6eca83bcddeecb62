package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.VmId

/**
 * A kind of fault of a [FaultSeries].
 *
 * @property disturbs whether a router with such a fault is out of touch, so that it need not know of changes. One that
 *   only other routers don't reach is in touch.
 */
internal enum class FaultKind(val disturbs: Boolean) {
    /** Nothing arrives between some routers and the others. */
    CUT_BOTH_WAYS(disturbs = false),

    /** Nothing arrives at the others from some routers. */
    CUT_OUTGOING(disturbs = false),

    /** Nothing arrives from the others at some routers. */
    CUT_INCOMING(disturbs = false),

    /** Some routers reach neither the store nor the others. */
    CUT_FROM_ALL(disturbs = true),

    /** The store is silent to some routers. */
    CUT_FROM_STORE(disturbs = true),

    /** The store refuses some routers. */
    REFUSED_BY_STORE(disturbs = true),

    /** The store answers some routers late. */
    ANSWERED_LATE(disturbs = true),

    /** Some routers stand still. */
    PAUSED(disturbs = true),

    /** Some routers start anew, with nothing of what they knew. */
    RESTARTED(disturbs = true),
    ;

    /** Returns the links, from sender to receiver, that are cut between [some] routers and the [others]. */
    fun cutLinks(some: Set<VmId>, others: Set<VmId>): Set<Pair<VmId, VmId>> = when (this) {
        CUT_BOTH_WAYS, CUT_FROM_ALL -> links(some, others) + links(others, some)
        CUT_OUTGOING -> links(some, others)
        CUT_INCOMING -> links(others, some)
        else -> emptySet()
    }

    private fun links(senders: Set<VmId>, receivers: Set<VmId>): Set<Pair<VmId, VmId>> =
        senders.flatMap { sender -> receivers.map { sender to it } }.toSet()
}
