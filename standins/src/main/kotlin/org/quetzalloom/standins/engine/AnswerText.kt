package org.quetzalloom.standins.engine

import net.openhft.hashing.LongHashFunction

/**
 * The answers of the stand-in engines.
 *
 * They are computed from hashes: a version always answers a prompt with the same words, so that a client can tell
 * whether an answer is complete and correct, even if several engines generated parts of it.
 */
object AnswerText {
    private val words = listOf("flour", "water", "salt", "proof", "bake", "tulle", "hem", "fit", "steam", "rest")

    /**
     * Returns the number of tokens in the answer to [prompt], from 1 to [maximumTokens].
     *
     * It is the same for all versions.
     */
    fun tokenCount(prompt: String, maximumTokens: Int): Int =
        1 + Math.floorMod(hash("length", prompt), maximumTokens.toLong()).toInt()

    /** Returns [count] tokens of the answer of [version] to [prompt], starting with the token at [position]. */
    fun tokens(version: String, prompt: String, position: Int, count: Int): String =
        (position until position + count).joinToString("") { "${word(version, prompt, it)} " }

    private fun word(version: String, prompt: String, position: Int): String =
        words[Math.floorMod(hash(version, prompt, position.toString()), words.size.toLong()).toInt()]

    private fun hash(vararg parts: String): Long = LongHashFunction.xx3().hashChars(parts.joinToString("\u0000"))
}
