package org.quetzalloom.core.identity

/**
 * The identifier of a request, unique within the fleet.
 *
 * @property value the text form: 1 to 128 ASCII letters, digits and `. _ - : @ / + =`.
 * @throws IllegalArgumentException if [value] is not of that form.
 */
@JvmInline
public value class RequestId(public val value: String) : Comparable<RequestId> {
    init {
        requireIdentifier(kind = "request", value = value)
    }

    override fun compareTo(other: RequestId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
