package org.quetzalloom.core.identity

/**
 * Names one session of a caller within its workspace.
 *
 * @property value the text form: 1 to 128 characters of letters, digits and `. _ - : @ / + =`.
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
