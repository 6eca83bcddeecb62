package org.quetzalloom.core.backend

/** Decides which backend server takes a request. */
public fun interface ServerChoice {
    /**
     * Returns one of [candidates].
     *
     * @param candidates the backend servers that may take the request, in a fixed order; not empty.
     * @param seed a number that differs between attempts and decides what is left to chance.
     */
    public fun choose(candidates: List<ServerCandidate>, seed: Long): ServerCandidate
}
