package org.quetzalloom.core.identity

/**
 * Names one backend server.
 *
 * @property value the text form: 1 to 128 characters of letters, digits and `. _ - : @ / + =`.
 * @throws IllegalArgumentException if [value] is not of that form.
 */
@JvmInline
public value class BackendServerId(public val value: String) : Comparable<BackendServerId> {
    init {
        requireIdentifier(kind = "backend server", value = value)
    }

    override fun compareTo(other: BackendServerId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
