package org.quetzalloom.core.router

import kotlinx.collections.immutable.PersistentMap
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.VmId

/**
 * The settings of one router, which are fixed for the life of its process.
 *
 * @property vm the identifier of this VM.
 * @property incarnation an identifier of this process, different after each start.
 * @property fleet the availability zone of every VM of the fleet, this one included.
 * @property sessionSecret the key that signs session tokens; the same on all VMs.
 * @property limits timeouts, intervals and size limits.
 * @property policies the replaceable policies.
 * @throws IllegalArgumentException if [vm] is not in [fleet] or [sessionSecret] is empty.
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
