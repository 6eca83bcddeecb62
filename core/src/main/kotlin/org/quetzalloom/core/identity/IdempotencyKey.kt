package org.quetzalloom.core.identity

/**
 * The key under which a request runs at most once, unique within its workspace and chosen by the caller.
 *
 * @property value the text form: 1 to 128 ASCII letters, digits and `. _ - : @ / + =`.
 * @throws IllegalArgumentException if [value] is not of that form.
 */
@JvmInline
public value class IdempotencyKey(public val value: String) : Comparable<IdempotencyKey> {
    init {
        requireIdentifier(kind = "idempotency key", value = value)
    }

    override fun compareTo(other: IdempotencyKey): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
