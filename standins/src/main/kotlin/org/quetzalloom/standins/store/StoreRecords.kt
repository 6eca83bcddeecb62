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

    private const val HEADER_BYTES = 2 * Long.SIZE_BYTES

    /** The default of the store's parameter `max_size`, which its clients don't send, in bytes. */
    private const val MAXIMUM_READ_BYTES = 1_024 * 1_024

    /**
     * Returns the end offset and the first offset of [topic] (8 bytes each) and its records from [offset] on, as many
     * as one read returns.
     */
    fun encode(topic: StoredTopic, offset: Long): String {
        val bytes = ByteArrayOutputStream()
        val out = DataOutputStream(bytes)
        out.writeLong(topic.endOffset)
        out.writeLong(topic.firstOffset)
        for (record in topic.records.filter { it.offset >= offset }) {
            if (bytes.size() + record.value.orEmpty().length > MAXIMUM_READ_BYTES && bytes.size() > HEADER_BYTES) break
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
