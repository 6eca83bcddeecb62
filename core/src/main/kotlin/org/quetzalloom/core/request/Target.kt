package org.quetzalloom.core.request

/** What a caller asks for. */
public sealed interface Target {
    /**
     * A completion by a model engine.
     *
     * @property model a model, a version such as `menu-large@3`, or [ANY_MODEL].
     * @property maximumTokens the longest answer wanted, in tokens.
     * @property streamed whether the caller reads the answer piece by piece.
     */
    public data class Completion(
        public val model: String,
        public val maximumTokens: Int,
        public val streamed: Boolean,
    ) : Target

    /**
     * A call of a plain service.
     *
     * @property method the HTTP method, in upper case.
     * @property path the path with its query.
     */
    public data class ServiceCall(
        public val method: String,
        public val path: String,
    ) : Target

    public companion object {
        /** The model name that leaves the choice to the router. */
        public const val ANY_MODEL: String = "auto"
    }
}
