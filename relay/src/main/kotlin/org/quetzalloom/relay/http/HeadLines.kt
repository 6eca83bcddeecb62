package org.quetzalloom.relay.http

import io.netty.buffer.ByteBuf

/** Checks the lines of a head before they are decoded, as the decoder takes a line without a colon for a header. */
internal class HeadLines {
    private var startLineRead = false

    /**
     * Returns whether the next whole lines of [input], up to the end of the head, contain one that is no header. The
     * decoder must consume these lines before the next call.
     */
    fun hasLineWithoutColon(input: ByteBuf): Boolean {
        var start = input.readerIndex()
        var end = input.indexOf(start, input.writerIndex(), LINE_FEED)
        while (end >= 0 && (!startLineRead || !isBlank(input, start, end))) {
            if (startLineRead && !isHeaderOrContinuation(input, start, end)) return true
            startLineRead = startLineRead || !isBlank(input, start, end)
            start = end + 1
            end = input.indexOf(start, input.writerIndex(), LINE_FEED)
        }
        return false
    }

    /** Starts anew for the head of the next message. */
    fun reset() {
        startLineRead = false
    }

    private fun isBlank(input: ByteBuf, start: Int, end: Int): Boolean =
        start == end || end == start + 1 && input.getByte(start) == CARRIAGE_RETURN

    private fun isHeaderOrContinuation(input: ByteBuf, start: Int, end: Int): Boolean =
        input.getByte(start) == SPACE || input.getByte(start) == TAB || input.indexOf(start, end, COLON) >= 0

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val SPACE = ' '.code.toByte()
        const val TAB = '\t'.code.toByte()
        const val COLON = ':'.code.toByte()
    }
}
