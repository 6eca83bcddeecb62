package org.quetzalloom.core.request

import net.openhft.hashing.LongHashFunction

/**
 * Tells requests with the same content apart from others.
 *
 * @property value a hash of workspace, target and body.
 */
@JvmInline
public value class Fingerprint(public val value: Long) {
    override fun toString(): String = value.toULong().toString(radix = HEXADECIMAL)

    public companion object {
        private const val HEXADECIMAL = 16

        /** Returns the fingerprint of [call]. Sessions, keys, priorities and timeouts make no difference. */
        public fun of(call: CallerRequest): Fingerprint {
            val text = listOf(call.workspace.value, call.target.toString(), call.body).joinToString("\u0000")
            return Fingerprint(LongHashFunction.xx3().hashChars(text))
        }
    }
}
