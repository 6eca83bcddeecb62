package org.quetzalloom.core.identity

/**
 * The identifier of a backend server.
 *
 * @property value the text form: 1 to 128 ASCII letters, digits and `. _ - : @ / + =`.
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
