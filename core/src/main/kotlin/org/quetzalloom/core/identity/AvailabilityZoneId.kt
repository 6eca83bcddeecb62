package org.quetzalloom.core.identity

/**
 * The identifier of an availability zone.
 *
 * @property value the text form: 1 to 128 ASCII letters, digits and `. _ - : @ / + =`.
 * @throws IllegalArgumentException if [value] is not of that form.
 */
@JvmInline
public value class AvailabilityZoneId(public val value: String) : Comparable<AvailabilityZoneId> {
    init {
        requireIdentifier(kind = "availability zone", value = value)
    }

    override fun compareTo(other: AvailabilityZoneId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
