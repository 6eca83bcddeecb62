package org.quetzalloom.core.router

import kotlinx.collections.immutable.PersistentMap
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.VmId

/**
 * What one router is told at its start, and cannot change later.
 *
 * @property vm the slot of this VM.
 * @property incarnation differs after each start of the VM; an identifier.
 * @property fleet every VM slot with its availability zone, this one included.
 * @property sessionSecret signs session tokens; the same on all VMs.
 * @property limits bounds in time and number.
 * @property policies the decisions that can be exchanged.
 */
public data class RouterSettings(
    public val vm: VmId,
    public val incarnation: String,
    public val fleet: PersistentMap<VmId, AvailabilityZoneId>,
    public val sessionSecret: String,
    public val limits: RouterLimits = RouterLimits(),
    public val policies: RouterPolicies = RouterPolicies(),
) {
    init {
        require(vm in fleet) { "VM '$vm' must be in the fleet ${fleet.keys.sorted()}" }
        require(sessionSecret.isNotEmpty()) { "the session secret must not be empty" }
    }

    /** The availability zone of this VM. */
    public val zone: AvailabilityZoneId get() = fleet.getValue(vm)
}
