package org.quetzalloom.core.configuration

/** What the backend servers of a version are. */
public enum class VersionKind {
    /** A model engine, which answers completions in pieces and can resume a stream. */
    ENGINE,

    /** A plain service, which answers one HTTP request with one response. */
    SERVICE,
}
