package org.quetzalloom.core.identity

/**
 * Names one availability zone.
 *
 * @property value the text form: 1 to 128 characters of letters, digits and `. _ - : @ / + =`.
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
