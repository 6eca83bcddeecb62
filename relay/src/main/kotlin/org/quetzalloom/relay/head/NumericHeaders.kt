package org.quetzalloom.relay.head

import io.netty.handler.codec.DateFormatter
import io.netty.handler.codec.http.HttpHeaders

/** Converts the values of headers to numbers, and numbers to values. */
internal abstract class NumericHeaders : HttpHeaders() {
    override fun getInt(name: CharSequence): Int? = get(name)?.trim()?.toIntOrNull()

    override fun getInt(name: CharSequence, defaultValue: Int): Int = getInt(name) ?: defaultValue

    override fun getShort(name: CharSequence): Short? = get(name)?.trim()?.toShortOrNull()

    override fun getShort(name: CharSequence, defaultValue: Short): Short = getShort(name) ?: defaultValue

    override fun getTimeMillis(name: CharSequence): Long? = get(name)?.let { DateFormatter.parseHttpDate(it) }?.time

    override fun getTimeMillis(name: CharSequence, defaultValue: Long): Long = getTimeMillis(name) ?: defaultValue

    override fun addInt(name: CharSequence, value: Int): HttpHeaders = add(name, value.toString())

    override fun addShort(name: CharSequence, value: Short): HttpHeaders = add(name, value.toString())

    override fun setInt(name: CharSequence, value: Int): HttpHeaders = set(name, value.toString())

    override fun setShort(name: CharSequence, value: Short): HttpHeaders = set(name, value.toString())
}
