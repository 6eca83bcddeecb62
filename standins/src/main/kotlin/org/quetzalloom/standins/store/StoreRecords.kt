package org.quetzalloom.standins.store

import java.io.ByteArrayOutputStream
import java.io.DataOutputStream

/** Records of keyed topics in bytes, shown as text with one character a byte. */
internal object StoreRecords {
    /** Returns the one record in [body], at [offset]. */
    fun decode(body: String, offset: Long): StoredRecord {
        val keyLength = body[Int.SIZE_BYTES].code
        val key = body.substring(Int.SIZE_BYTES + 1, Int.SIZE_BYTES + 1 + keyLength)
        val value = body.substring(Int.SIZE_BYTES + 1 + keyLength)
        return StoredRecord(offset, key, value.takeIf { it.isNotEmpty() })
    }

    /** Returns the records of [topic] from [offset] on, after its end and its first offset. */
    fun encode(topic: StoredTopic, offset: Long): String {
        val bytes = ByteArrayOutputStream()
        val out = DataOutputStream(bytes)
        out.writeLong(topic.endOffset)
        out.writeLong(topic.firstOffset)
        topic.records.filter { it.offset >= offset }.forEach { record ->
            val key = record.key.toByteArray(Charsets.ISO_8859_1)
            val value = record.value.orEmpty().toByteArray(Charsets.ISO_8859_1)
            out.writeInt(1 + key.size + value.size)
            out.writeByte(key.size)
            out.write(key)
            out.write(value)
        }
        return bytes.toString(Charsets.ISO_8859_1)
    }
}
