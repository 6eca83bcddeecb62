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
    fun problemOrNull(input: ByteBuf): String? {
        var start = input.readerIndex()
        var end = input.indexOf(start, input.writerIndex(), LINE_FEED)
        var problem: String? = null
        while (problem == null && end >= 0 && (!startLineRead || !isBlank(input, start, end))) {
            if (!isBlank(input, start, end)) problem = lineProblemOrNull(input, start, end)
            start = end + 1
            end = input.indexOf(start, input.writerIndex(), LINE_FEED)
        }
        return problem
    }

    /** Starts anew for the head of the next message. */
    fun reset() {
        startLineRead = false
        headerRead = false
    }

    private fun lineProblemOrNull(input: ByteBuf, start: Int, end: Int): String? = when {
        !startLineRead -> {
            startLineRead = true
            "the status line is invalid".takeUnless { isStatusLine(input, start, end) }
        }
        isContinuation(input, start) -> "a line continues no header".takeUnless { headerRead }
        else -> {
            headerRead = true
            "a line is no header".takeUnless { hasName(input, start, end) }
        }
    }

    private fun isBlank(input: ByteBuf, start: Int, end: Int): Boolean =
        start == end || end == start + 1 && input.getByte(start) == CARRIAGE_RETURN

    private fun isStatusLine(input: ByteBuf, start: Int, end: Int): Boolean =
        STATUS_LINE.matches(input.toString(start, end - start, Charsets.ISO_8859_1).removeSuffix("\r"))

    private fun isContinuation(input: ByteBuf, start: Int): Boolean =
        input.getByte(start) == SPACE || input.getByte(start) == TAB

    /** Returns whether the line begins with a token and a colon. */
    private fun hasName(input: ByteBuf, start: Int, end: Int): Boolean {
        val colon = input.indexOf(start, end, COLON)
        return colon > start && (start until colon).all { isTokenCharacter(input.getByte(it)) }
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
