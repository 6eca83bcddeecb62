package org.quetzalloom.core.identity

/**
 * The identifier of a session, unique within its workspace and chosen by the caller.
 *
 * @property value the text form: 1 to 128 ASCII letters, digits and `. _ - : @ / + =`.
 * @throws IllegalArgumentException if [value] is not of that form.
 */
@JvmInline
public value class SessionId(public val value: String) : Comparable<SessionId> {
    init {
        requireIdentifier(kind = "session", value = value)
    }

    override fun compareTo(other: SessionId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
