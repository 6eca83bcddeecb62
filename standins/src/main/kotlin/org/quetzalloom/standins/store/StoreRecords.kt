package org.quetzalloom.standins.store

import java.io.ByteArrayOutputStream
import java.io.DataOutputStream

/**
 * Encodes and decodes the records of keyed topics.
 *
 * A record is its length without these four bytes (4 bytes), the length of the key (1 byte), the key and the value. An
 * empty value removes the key. Bytes are represented by strings with one character per byte (ISO 8859-1).
 */
internal object StoreRecords {
    /** Returns the only record in [body], with [offset] as its offset. */
    fun decode(body: String, offset: Long): StoredRecord {
        val keyLength = body[Int.SIZE_BYTES].code
        val key = body.substring(Int.SIZE_BYTES + 1, Int.SIZE_BYTES + 1 + keyLength)
        val value = body.substring(Int.SIZE_BYTES + 1 + keyLength)
        return StoredRecord(offset, key, value.takeIf { it.isNotEmpty() })
    }

    /** Returns the end offset and the first offset of [topic] (8 bytes each) and its records from [offset] on. */
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
