package org.quetzalloom.core.timeline

import org.quetzalloom.core.identity.VmId

/**
 * Orders events of different processes so that a cause always comes before what it brings about, whatever
 * their clocks say. A Lamport clock with the VM as the second key.
 *
 * @property counter rises with each event, and above that of each message received.
 */
public data class CausalStamp(
    public val counter: Long,
    public val vm: VmId,
) : Comparable<CausalStamp> {
    override fun compareTo(other: CausalStamp): Int = compareValuesBy(this, other, { it.counter }, { it.vm })
}
