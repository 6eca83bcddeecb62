package org.quetzalloom.core.peer

import org.quetzalloom.core.identity.VmId

/** A line of the platform's list of VMs, which lags. */
public data class VmListing(
    public val vm: VmId,
    public val leaving: Boolean,
)
