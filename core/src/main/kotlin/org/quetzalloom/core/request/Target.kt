package org.quetzalloom.core.request

/** What a request calls: a model or a service. */
public sealed interface Target {
    /**
     * A completion by a model engine.
     *
     * @property model a model, a version such as `menu-large@3`, or [ANY_MODEL].
     * @property maximumTokens the maximum length of the answer, in tokens.
     * @property streamed whether the caller reads the answer as a stream.
     */
    public data class Completion(
        public val model: String,
        public val maximumTokens: Int,
        public val streamed: Boolean,
    ) : Target

    /**
     * A call to a plain HTTP service.
     *
     * @property method the HTTP method, in upper case.
     * @property path the path with its query.
     */
    public data class ServiceCall(
        public val method: String,
        public val path: String,
    ) : Target

    public companion object {
        /** The model name for which the router chooses among all models. */
        public const val ANY_MODEL: String = "auto"
    }
}
