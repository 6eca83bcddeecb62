package org.quetzalloom.core.identity

/**
 * The identifier of one run of a backend server process, different after each start.
 *
 * @property value the text form: 1 to 128 ASCII letters, digits and `. _ - : @ / + =`.
 * @throws IllegalArgumentException if [value] is not of that form.
 */
@JvmInline
public value class StartIdentity(public val value: String) : Comparable<StartIdentity> {
    init {
        requireIdentifier(kind = "start identity", value = value)
    }

    override fun compareTo(other: StartIdentity): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
