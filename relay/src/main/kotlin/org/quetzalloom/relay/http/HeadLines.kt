package org.quetzalloom.relay.http

import io.netty.buffer.ByteBuf

/**
 * Checks the lines of a response's head before they are decoded. The decoder takes any number for a status, skips
 * controls before the status line, and ends the name of a header at the first blank.
 */
internal class HeadLines {
    private var startLineRead = false
    private var headerRead = false

    /**
     * Returns what is wrong with the next whole lines of [input], up to the end of the head; `null` if they are sound.
     * The decoder must consume these lines before the next call.
     */
    fun problemOrNull(input: ByteBuf): String? = wholeLines(input)
        .takeWhile { !startLineRead || !isBlank(input, it) }
        .filterNot { isBlank(input, it) }
        .firstNotNullOfOrNull { lineProblemOrNull(input, it) }

    /** Starts anew for the head of the next message. */
    fun reset() {
        startLineRead = false
        headerRead = false
    }

    /** Returns the ranges of the lines of [input] that end, each without its line feed. */
    private fun wholeLines(input: ByteBuf): Sequence<IntRange> {
        fun lineAt(start: Int): IntRange? =
            input.indexOf(start, input.writerIndex(), LINE_FEED).takeIf { it >= 0 }?.let { start until it }
        return generateSequence(lineAt(input.readerIndex())) { lineAt(it.last + 2) }
    }

    private fun lineProblemOrNull(input: ByteBuf, line: IntRange): String? = when {
        !startLineRead -> {
            startLineRead = true
            "the status line is invalid".takeUnless { isStatusLine(input, line) }
        }
        isContinuation(input, line) -> "a line continues no header".takeUnless { headerRead }
        else -> {
            headerRead = true
            "a line is no header".takeUnless { hasName(input, line) }
        }
    }

    private fun isBlank(input: ByteBuf, line: IntRange): Boolean =
        line.isEmpty() || line.first == line.last && input.getByte(line.first) == CARRIAGE_RETURN

    private fun isStatusLine(input: ByteBuf, line: IntRange): Boolean {
        val text = input.toString(line.first, line.last - line.first + 1, Charsets.ISO_8859_1)
        return STATUS_LINE.matches(text.removeSuffix("\r"))
    }

    private fun isContinuation(input: ByteBuf, line: IntRange): Boolean =
        input.getByte(line.first) == SPACE || input.getByte(line.first) == TAB

    /** Returns whether [line] begins with a token and a colon. */
    private fun hasName(input: ByteBuf, line: IntRange): Boolean {
        val colon = input.indexOf(line.first, line.last + 1, COLON)
        return colon > line.first && (line.first until colon).all { isTokenCharacter(input.getByte(it)) }
    }

    private fun isTokenCharacter(byte: Byte): Boolean = byte.toInt().toChar().let {
        it in 'a'..'z' || it in 'A'..'Z' || it in '0'..'9' || it in "!#$%&'*+-.^_`|~"
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val SPACE = ' '.code.toByte()
        const val TAB = '\t'.code.toByte()
        const val COLON = ':'.code.toByte()

        /** Statuses from 100 to 599, see RFC 9110, section 15. */
        val STATUS_LINE = Regex("""HTTP/1\.[01] [1-5]\d\d(?: .*)?""", RegexOption.DOT_MATCHES_ALL)
    }
}
