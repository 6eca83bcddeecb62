package org.quetzalloom.core.peer

import org.quetzalloom.core.identity.VmId

/**
 * A VM in the platform's list of VMs, which may be out of date.
 *
 * @property leaving whether the VM is about to be removed.
 */
public data class VmListing(
    public val vm: VmId,
    public val leaving: Boolean,
)
