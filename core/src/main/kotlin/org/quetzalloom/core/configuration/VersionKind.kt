package org.quetzalloom.core.configuration

/** The kind of backend server that a version runs on. */
public enum class VersionKind {
    /** A model engine, which streams completions in chunks and can resume a stream. */
    ENGINE,

    /** A plain service, which answers each HTTP request with one response. */
    SERVICE,
}
