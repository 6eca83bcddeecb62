package org.quetzalloom.relay.head

import java.util.AbstractMap.SimpleImmutableEntry

/** Reads headers from [lines]. */
internal abstract class ReadableHeaders(protected val lines: HeaderLines) : NumericHeaders() {
    override fun get(name: String): String? =
        lines.find(name).takeIf { it >= 0 }?.let { lines.value(it).toString() }

    /** Returns a copy that may be changed, as the decoder does for folded trailers. */
    override fun getAll(name: String): List<String> =
        generateSequence(lines.find(name)) { lines.find(name, lines.after(it)) }.takeWhile { it >= 0 }
            .map { lines.value(it).toString() }.toMutableList()

    override fun contains(name: String): Boolean = lines.find(name) >= 0

    override fun entries(): List<Map.Entry<String, String>> =
        allLines().map { SimpleImmutableEntry(lines.name(it).toString(), lines.value(it).toString()) }.toList()

    @Deprecated("Overrides a deprecated method.")
    override fun iterator(): MutableIterator<MutableMap.MutableEntry<String, String>> =
        allLines().map { line -> SimpleImmutableEntry(lines.name(line).toString(), lines.value(line).toString()) }
            .iterator().withoutRemoval()

    override fun iteratorCharSequence(): MutableIterator<MutableMap.MutableEntry<CharSequence, CharSequence>> =
        allLines().map { SimpleImmutableEntry<CharSequence, CharSequence>(lines.name(it), lines.value(it)) }
            .iterator().withoutRemoval()

    override fun isEmpty(): Boolean = lines.count == 0

    override fun size(): Int = lines.count

    override fun names(): Set<String> = allLines().map { lines.name(it).toString() }.toSet()

    private fun allLines(): Sequence<Int> =
        generateSequence(0) { lines.after(it) }.takeWhile { lines.exists(it) }
}

private fun <K, V> Iterator<SimpleImmutableEntry<K, V>>.withoutRemoval() =
    object : MutableIterator<MutableMap.MutableEntry<K, V>> {
        override fun hasNext(): Boolean = this@withoutRemoval.hasNext()

        override fun next(): MutableMap.MutableEntry<K, V> = this@withoutRemoval.next()

        override fun remove(): Unit = throw UnsupportedOperationException("headers are removed by name")
    }
