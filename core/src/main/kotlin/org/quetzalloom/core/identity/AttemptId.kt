package org.quetzalloom.core.identity

/**
 * The identifier of one attempt of a request at one backend server.
 *
 * @property value the text form: 1 to 128 ASCII letters, digits and `. _ - : @ / + =`.
 * @throws IllegalArgumentException if [value] is not of that form.
 */
@JvmInline
public value class AttemptId(public val value: String) : Comparable<AttemptId> {
    init {
        requireIdentifier(kind = "attempt", value = value)
    }

    override fun compareTo(other: AttemptId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
