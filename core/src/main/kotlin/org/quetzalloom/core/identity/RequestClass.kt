package org.quetzalloom.core.identity

/**
 * Names a kind of request for which quality is estimated apart, such as `plan` or `summary`; chosen by the caller.
 *
 * @property value the text form, an identifier.
 * @throws IllegalArgumentException if [value] is not an identifier.
 */
@JvmInline
public value class RequestClass(public val value: String) {
    init {
        requireIdentifier(kind = "request class", value = value)
    }

    override fun toString(): String = value

    public companion object {
        /** The class of a request whose caller names none. */
        public val DEFAULT: RequestClass = RequestClass("default")
    }
}
