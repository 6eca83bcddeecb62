package org.quetzalloom.core.identity

/**
 * The identifier of a workspace.
 *
 * @property value the text form: 1 to 128 ASCII letters, digits and `. _ - : @ / + =`.
 * @throws IllegalArgumentException if [value] is not of that form.
 */
@JvmInline
public value class WorkspaceId(public val value: String) : Comparable<WorkspaceId> {
    init {
        requireIdentifier(kind = "workspace", value = value)
    }

    override fun compareTo(other: WorkspaceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
