package org.quetzalloom.core.timeline

import org.quetzalloom.core.identity.VmId

/**
 * A Lamport timestamp, which orders events of different VMs independently of their clocks: a cause is always ordered
 * before its effects. Equal counters are ordered by the VM.
 *
 * @property counter increases with each time line entry, peer message and append of the VM, and is never below that of
 *   a peer message or log record that the VM has received.
 */
public data class CausalStamp(
    public val counter: Long,
    public val vm: VmId,
) : Comparable<CausalStamp> {
    override fun compareTo(other: CausalStamp): Int = compareValuesBy(this, other, { it.counter }, { it.vm })
}
