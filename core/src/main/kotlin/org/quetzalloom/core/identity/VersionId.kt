package org.quetzalloom.core.identity

/**
 * The identifier of a version of a model or of a plain service, such as `menu-large@3`.
 *
 * @property value the text form: 1 to 128 ASCII letters, digits and `. _ - : @ / + =`.
 * @throws IllegalArgumentException if [value] is not of that form.
 */
@JvmInline
public value class VersionId(public val value: String) : Comparable<VersionId> {
    init {
        requireIdentifier(kind = "version", value = value)
    }

    override fun compareTo(other: VersionId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
