package org.quetzalloom.core.relay.server

/** Chooses the backend server for an attempt. */
public interface Placement {
    /** Returns one of [candidates], or `null` if there are none. */
    public fun chooseOrNull(candidates: List<Candidate>, request: PlacementRequest): Candidate?
}
