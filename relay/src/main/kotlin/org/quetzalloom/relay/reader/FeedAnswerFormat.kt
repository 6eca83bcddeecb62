package org.quetzalloom.relay.reader

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.relay.feed.FeedAnswer
import org.quetzalloom.core.relay.feed.FeedRecord
import org.quetzalloom.core.relay.feed.RecordContent

/**
 * The binary format of [FeedAnswer] between routers.
 *
 * Four numbers of 8 bytes (next offset, age, age of the last failure or -1, generation), a byte that is 1 for a
 * snapshot, and one that is 1 if the records are too large. Each record follows with its offset (8 bytes), the length
 * of its key (2 bytes), the key, the length of its content (4 bytes; -1 if the key is removed) and the content.
 *
 * [FeedAnswer.era] is left out, as earlier versions would not know the number: see [ReaderPaths.ERA_HEADER].
 */
internal object FeedAnswerFormat {
    private const val NONE = -1L
    private const val REMOVED = -1
    private const val HEAD_BYTES = 4 * Long.SIZE_BYTES + 2

    /** Encodes [answer]. What the records say is left out. */
    fun encode(answer: FeedAnswer): ByteBuf {
        val body = Unpooled.buffer()
            .writeLong(answer.nextOffset)
            .writeLong(answer.ageMilliseconds)
            .writeLong(answer.storeFailedMillisecondsAgo ?: NONE)
            .writeLong(answer.generation)
            .writeBoolean(answer.snapshot)
            .writeBoolean(answer.tooLarge)
        answer.records.forEach { body.writeRecord(it) }
        return body
    }

    /** Decodes [body]; the records are without entries. Throws [IllegalArgumentException] if [body] is truncated. */
    fun decode(body: ByteBuf): FeedAnswer {
        require(body.readableBytes() >= HEAD_BYTES) { "the head is truncated" }
        return FeedAnswer(
            nextOffset = body.readLong(),
            ageMilliseconds = body.readLong(),
            storeFailedMillisecondsAgo = body.readLong().takeUnless { it == NONE },
            generation = body.readLong(),
            snapshot = body.readBoolean(),
            tooLarge = body.readBoolean(),
            records = generateSequence { if (body.isReadable) body.readRecord() else null }.toPersistentList(),
        )
    }

    private fun ByteBuf.writeRecord(record: FeedRecord) {
        val key = record.key.toByteArray()
        val content = record.content?.toByteArray()
        writeLong(record.offset).writeShort(key.size).writeBytes(key)
        if (content == null) writeInt(REMOVED) else writeInt(content.size).writeBytes(content)
    }

    private fun ByteBuf.readRecord(): FeedRecord {
        require(readableBytes() >= Long.SIZE_BYTES + Short.SIZE_BYTES) { "a record is truncated" }
        val offset = readLong()
        val key = readArray(readUnsignedShort()).decodeToString()
        require(readableBytes() >= Int.SIZE_BYTES) { "a record is truncated" }
        val length = readInt()
        val content = if (length == REMOVED) null else RecordContent(readArray(length))
        return FeedRecord(key, offset, content, entry = null)
    }

    private fun ByteBuf.readArray(length: Int): ByteArray {
        require(length in 0..readableBytes()) { "$length bytes are truncated" }
        return ByteArray(length).also { readBytes(it) }
    }
}
