package org.quetzalloom.core.backend

/** Decides which backend server runs an attempt. */
public fun interface ServerChoice {
    /**
     * Returns one of [candidates].
     *
     * @param candidates the backend servers that have room for the request, ordered by id; not empty.
     * @param seed the source of all random decisions, different for each attempt.
     */
    public fun choose(candidates: List<ServerCandidate>, seed: Long): ServerCandidate
}
