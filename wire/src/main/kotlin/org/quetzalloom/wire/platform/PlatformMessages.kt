package org.quetzalloom.wire.platform

import kotlinx.serialization.Serializable

/** A line of the list of VMs. `GET /vms`. */
@Serializable
public data class VmDocument(
    public val vm: String,
    public val leaving: Boolean = false,
)

/** The list of VMs. */
@Serializable
public data class VmsResponse(public val vms: List<VmDocument>)

/** An answer to be rated. `POST /samples`. */
@Serializable
public data class SampleRequest(
    public val submitter: String,
    public val request: String,
    public val workspace: String,
    public val requestClass: String,
    public val version: String,
    public val answer: String,
)

/** A verdict of the rating service. */
@Serializable
public data class RatingDocument(
    public val workspace: String,
    public val requestClass: String,
    public val version: String,
    public val good: Boolean,
)

/** The verdicts on a submitter's samples. `GET /ratings?submitter={name}&from={place}`. */
@Serializable
public data class RatingsResponse(
    public val ratings: List<RatingDocument>,
    public val next: Long,
)
