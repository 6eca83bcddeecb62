package org.quetzalloom.core.request

import net.openhft.hashing.LongHashFunction

/**
 * Identifies the content of a request.
 *
 * @property value a 64-bit hash of workspace, target and body. It depends on `toString()` of the [Target], and all VMs
 *   must compute the same.
 */
@JvmInline
public value class Fingerprint(public val value: Long) {
    override fun toString(): String = value.toULong().toString(radix = HEXADECIMAL)

    public companion object {
        private const val HEXADECIMAL = 16

        /** Returns the fingerprint of [call], which ignores its session, key, request class, priority and timeout. */
        public fun of(call: CallerRequest): Fingerprint {
            val text = listOf(call.workspace.value, call.target.toString(), call.body).joinToString("\u0000")
            return Fingerprint(LongHashFunction.xx3().hashChars(text))
        }
    }
}
