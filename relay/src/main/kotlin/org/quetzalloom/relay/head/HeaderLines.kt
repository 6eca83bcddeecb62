package org.quetzalloom.relay.head

import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.util.AsciiString

/**
 * The lines of a head in one array of bytes: for each the lengths of its name and value, the name, and the value.
 *
 * Objects for each line would take many times the bytes that a short line has on the wire.
 *
 * @param memory counts the size of the array until it is released.
 * @param maximumLines the number of lines that a head may have.
 */
internal class HeaderLines(
    memory: HeadMemory,
    private val maximumLines: Int = Int.MAX_VALUE,
) {
    /** The memory of the head: the array, and what else is counted with it. */
    val memory: HeadReservation = HeadReservation(memory)
    private var bytes = NO_BYTES
    private var usedBytes = 0

    /** The number of lines. */
    var count: Int = 0
        private set

    /**
     * Appends a line. Throws a [TooLongHttpHeaderException] if there are too many lines or the line is too long, and a
     * [HeadMemoryException] if there is no room for it.
     */
    fun append(name: CharSequence, value: CharSequence) {
        if (count >= maximumLines) throw TooLongHttpHeaderException("more than $maximumLines lines")
        if (name.length > MAXIMUM_NAME_LENGTH || value.length > MAXIMUM_VALUE_LENGTH) {
            throw TooLongHttpHeaderException("a line is too long")
        }
        ensureRoom(PREFIX_BYTES + name.length + value.length)
        bytes.writeLength(usedBytes, NAME_LENGTH_BYTES, name.length)
        bytes.writeLength(usedBytes + NAME_LENGTH_BYTES, VALUE_LENGTH_BYTES, value.length)
        bytes.write(name, usedBytes + PREFIX_BYTES)
        bytes.write(value, usedBytes + PREFIX_BYTES + name.length)
        usedBytes += PREFIX_BYTES + name.length + value.length
        count++
    }

    /** Returns the first line at or after [start] whose name is [name] in any case, or -1 if there is none. */
    fun find(name: CharSequence, start: Int = 0): Int {
        var line = start
        while (line < usedBytes && !isNamed(line, name)) line = after(line)
        return if (line < usedBytes) line else -1
    }

    /** Returns whether there is a line at [line], which is 0 or the result of [after]. */
    fun exists(line: Int): Boolean = line < usedBytes

    /** Returns the line after [line]. */
    fun after(line: Int): Int = line + PREFIX_BYTES + bytes.nameLength(line) + bytes.valueLength(line)

    /** Returns the name of [line], which is valid until the lines change. */
    fun name(line: Int): AsciiString = AsciiString(bytes, line + PREFIX_BYTES, bytes.nameLength(line), false)

    /** Returns the value of [line], which is valid until the lines change. */
    fun value(line: Int): AsciiString =
        AsciiString(bytes, line + PREFIX_BYTES + bytes.nameLength(line), bytes.valueLength(line), false)

    /** Removes [line]. */
    fun remove(line: Int) {
        val next = after(line)
        bytes.copyInto(bytes, line, next, usedBytes)
        usedBytes -= next - line
        count--
    }

    /** Returns a copy of the lines whose names fulfil [condition]. Its memory is not counted. */
    fun copyIf(condition: (AsciiString) -> Boolean): HeaderLines = HeaderLines(HeadMemory.Uncounted).also { copy ->
        copy.bytes = ByteArray(usedBytes + COPY_ROOM_BYTES)
        var line = 0
        while (exists(line)) {
            val next = after(line)
            if (condition(name(line))) {
                bytes.copyInto(copy.bytes, copy.usedBytes, line, next)
                copy.usedBytes += next - line
                copy.count++
            }
            line = next
        }
    }

    private fun ensureRoom(more: Int) {
        val needed = usedBytes + more
        if (needed <= bytes.size) return
        val size = maxOf(needed, bytes.size * 2, INITIAL_BYTES)
        memory.reserve(size - bytes.size)
        bytes = bytes.copyOf(size)
    }

    private fun isNamed(line: Int, name: CharSequence): Boolean =
        bytes.nameLength(line) == name.length && name(line).contentEqualsIgnoreCase(name)

    private companion object {
        const val MAXIMUM_NAME_LENGTH = 0xFFFF
        const val MAXIMUM_VALUE_LENGTH = 0xFFFFFF
        const val INITIAL_BYTES = 512

        /** Room for the lines that the router adds. */
        const val COPY_ROOM_BYTES = 256
        val NO_BYTES = ByteArray(0)
    }
}

private const val BYTE = 0xFF
private const val NAME_LENGTH_BYTES = 2
private const val VALUE_LENGTH_BYTES = 3
private const val PREFIX_BYTES = NAME_LENGTH_BYTES + VALUE_LENGTH_BYTES

private fun ByteArray.nameLength(line: Int): Int = readLength(line, NAME_LENGTH_BYTES)

private fun ByteArray.valueLength(line: Int): Int = readLength(line + NAME_LENGTH_BYTES, VALUE_LENGTH_BYTES)

private fun ByteArray.readLength(start: Int, size: Int): Int {
    var length = 0
    for (index in start until start + size) length = (length shl Byte.SIZE_BITS) or (this[index].toInt() and BYTE)
    return length
}

private fun ByteArray.writeLength(start: Int, size: Int, length: Int) {
    for (index in 0 until size) {
        this[start + index] = (length shr (Byte.SIZE_BITS * (size - 1 - index))).toByte()
    }
}

private fun ByteArray.write(text: CharSequence, start: Int) {
    if (text is AsciiString) {
        text.copy(0, this, start, text.length)
    } else {
        for (index in text.indices) this[start + index] = AsciiString.c2b(text[index])
    }
}
