package org.quetzalloom.wire.log

import kotlinx.serialization.Serializable
import org.quetzalloom.core.billing.Bill
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.WorkspaceId

/** The JSON form of [Bill]. */
@Serializable
public data class BillDocument(
    public val identity: String,
    public val workspace: String,
    public val version: String,
    public val units: Long,
    public val costMicros: Long,
)

/** Returns the JSON form of this bill. */
public fun Bill.toDocument(): BillDocument = BillDocument(
    identity = identity,
    workspace = workspace.value,
    version = version.value,
    units = units,
    costMicros = costMicros,
)

/**
 * Returns the bill that this document describes.
 *
 * @throws IllegalArgumentException if the name of the workspace or the version is not a valid identifier.
 */
public fun BillDocument.toBill(): Bill = Bill(
    identity = identity,
    workspace = WorkspaceId(workspace),
    version = VersionId(version),
    units = units,
    costMicros = costMicros,
)
