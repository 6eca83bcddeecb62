package org.quetzalloom.wire.platform

import kotlinx.serialization.Serializable

/**
 * An entry of the list of VMs, which a platform service of the router in the `daemon` module serves.
 *
 * @property leaving whether the platform is about to take the VM away.
 */
@Serializable
public data class VmDocument(
    public val vm: String,
    public val leaving: Boolean = false,
)

/** The response body of `GET /vms`. */
@Serializable
public data class VmsResponse(public val vms: List<VmDocument>)

/**
 * The request body of `POST /samples`: submits an answer to the rating service.
 *
 * @property submitter names one start of one VM, to which the rating will be delivered.
 */
@Serializable
public data class SampleRequest(
    public val submitter: String,
    public val request: String,
    public val workspace: String,
    public val requestClass: String,
    public val version: String,
    public val answer: String,
)

/**
 * The rating of one answer.
 *
 * @property good whether the answer was rated good.
 */
@Serializable
public data class RatingDocument(
    public val workspace: String,
    public val requestClass: String,
    public val version: String,
    public val good: Boolean,
)

/**
 * The response body of `GET /ratings?submitter={name}&from={offset}`: the ratings of a submitter's answers.
 *
 * @property next the offset to read from next.
 */
@Serializable
public data class RatingsResponse(
    public val ratings: List<RatingDocument>,
    public val next: Long,
)
