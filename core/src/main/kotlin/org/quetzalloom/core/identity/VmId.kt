package org.quetzalloom.core.identity

/**
 * The identifier of a VM that runs a router, unique in the fleet. A VM that replaces another takes over its identifier.
 *
 * @property value the text form: 1 to 128 ASCII letters, digits and `. _ - : @ / + =`.
 * @throws IllegalArgumentException if [value] is not of that form.
 */
@JvmInline
public value class VmId(public val value: String) : Comparable<VmId> {
    init {
        requireIdentifier(kind = "VM", value = value)
    }

    override fun compareTo(other: VmId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
