package org.quetzalloom.core.identity

/**
 * A class of requests whose quality is estimated separately, such as `plan` or `summary`, chosen by the caller.
 *
 * @property value the text form: 1 to 128 ASCII letters, digits and `. _ - : @ / + =`.
 * @throws IllegalArgumentException if [value] is not of that form.
 */
@JvmInline
public value class RequestClass(public val value: String) {
    init {
        requireIdentifier(kind = "request class", value = value)
    }

    override fun toString(): String = value

    public companion object {
        /** The class of requests whose caller gives none. */
        public val DEFAULT: RequestClass = RequestClass("default")
    }
}
