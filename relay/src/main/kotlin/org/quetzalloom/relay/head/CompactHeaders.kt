package org.quetzalloom.relay.head

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders

/**
 * Headers that take little more memory than their bytes on the wire. A line is found by a search through all of them.
 *
 * @param validation checks the names and values of the lines that are added.
 */
internal class CompactHeaders(
    lines: HeaderLines,
    private val validation: DefaultHttpHeadersFactory,
) : ReadableHeaders(lines) {
    /** Counts [bytes] for objects that live as long as these headers. */
    fun reserve(bytes: Int): Unit = lines.memory.reserve(bytes)

    /** Ends the count of the memory that the headers take. */
    fun release(): Unit = lines.memory.release()

    override fun add(name: CharSequence, value: Any): HttpHeaders = apply {
        val text = value as? CharSequence ?: value.toString()
        validation.nameValidator.validateName(name)
        validation.valueValidator.validate(text)
        lines.append(name, text)
    }

    override fun add(name: String, value: Any): HttpHeaders = add(name as CharSequence, value)

    override fun add(name: String, values: Iterable<*>): HttpHeaders = apply { values.forEach { add(name, "$it") } }

    override fun set(name: String, value: Any): HttpHeaders = remove(name).add(name, value)

    override fun set(name: String, values: Iterable<*>): HttpHeaders = remove(name).add(name, values)

    override fun remove(name: String): HttpHeaders = apply {
        var line = lines.find(name)
        while (line >= 0) {
            lines.remove(line)
            line = lines.find(name, line)
        }
    }

    override fun clear(): HttpHeaders = apply { while (lines.exists(0)) lines.remove(0) }

    /** Returns a copy without limits, whose memory is not counted. */
    override fun copy(): CompactHeaders = CompactHeaders(lines.copyIf { true }, NO_VALIDATION)

    companion object {
        private val NO_VALIDATION: DefaultHttpHeadersFactory =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false)

        /** Returns a copy of [headers] as [copy] does, without the lines whose names in lower case are in [names]. */
        fun copyWithout(headers: CompactHeaders, names: Set<String>): CompactHeaders =
            CompactHeaders(headers.lines.copyIf { it.toString().lowercase() !in names }, NO_VALIDATION)
    }
}

/** Ends the count of the memory that these headers take, if it is counted. */
internal fun HttpHeaders.releaseMemory() {
    (this as? CompactHeaders)?.release()
}
