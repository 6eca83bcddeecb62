package org.quetzalloom.core.relay.admission

/**
 * What an admission may know of a request that no backend server can take at once.
 *
 * @property waitLeftMilliseconds how much longer the request may wait at most.
 * @property untilRoomMilliseconds the predicted time until a backend server can take the request, or `null` if there is
 *   none that could.
 * @property waiting the number of requests that wait for the same service at this router, this one included.
 * @property waitingOfWorkspace how many of them belong to the request's workspace.
 * @property waitingWorkspaces the number of workspaces that they belong to.
 * @property returnedEarly whether the caller was refused before and has not waited for as long as it was asked to.
 * @property seed the seed by which callers are spread over time, which differs from request to request.
 */
public data class Shortage(
    public val waitLeftMilliseconds: Long,
    public val untilRoomMilliseconds: Long? = null,
    public val waiting: Int = 1,
    public val waitingOfWorkspace: Int = 1,
    public val waitingWorkspaces: Int = 1,
    public val returnedEarly: Boolean = false,
    public val seed: String = "",
)
