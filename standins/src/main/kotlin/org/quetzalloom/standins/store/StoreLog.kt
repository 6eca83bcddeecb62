package org.quetzalloom.standins.store

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpCall
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.unchanged
import org.quetzalloom.standins.http.with
import java.util.Base64

/** The operations on the topics of the store. */
internal object StoreLog {
    private const val CONFLICT = 412
    private const val GONE = 410

    /** Makes the records of a topic unreadable by offset. The newest record of each key remains. */
    fun discardHistory(state: StoreState, call: HttpCall): StoreStep {
        val topic = state.topic(call)
        val emptied = topic.copy(records = topic.records.clear(), firstOffset = topic.endOffset)
        return state.with(call, emptied).with(HttpEffect.Respond(call.exchangeId))
    }

    /**
     * Appends the record in the body and completes the reads that wait for it.
     *
     * The append is conditional if the call has the parameter `at`: the status is 412 unless that is the end offset.
     */
    fun append(state: StoreState, call: HttpCall): StoreStep {
        val topic = state.topic(call)
        val at = call.query["at"]?.toLong()
        if (at != null && at != topic.endOffset) {
            return state.with(HttpEffect.Respond(call.exchangeId, status = CONFLICT))
        }
        val record = StoreRecords.decode(call.body, topic.endOffset)
        val next = topic.copy(
            records = topic.records.add(record),
            endOffset = topic.endOffset + 1,
            newestByKey = topic.newestByKey.put(record.key, record),
        )
        val body = buildJsonObject {
            put("offset", topic.endOffset)
            put("end_offset", next.endOffset)
        }
        return state.with(call, next).with(HttpEffect.Respond(call.exchangeId, body = body.toString()))
            .then { current ->
                val due = current.waitingReads.filter { it.offset < current.topic(it.topic).endOffset }
                completeReads(current, due)
            }
    }

    /**
     * Responds with the records from the offset `source` on.
     *
     * If there is none yet, it waits for one for at most `wait_ms` and then responds without records. The status is
     * 410 if the offset is no longer readable, or after the end.
     */
    fun read(state: StoreState, call: HttpCall, now: Timestamp): StoreStep {
        val topic = state.topic(call)
        val offset = call.query.getValue("source").toLong()
        val wait = call.query["wait_ms"]?.toLong() ?: 0
        return when {
            offset < topic.firstOffset || offset > topic.endOffset ->
                state.with(HttpEffect.Respond(call.exchangeId, status = GONE))
            offset < topic.endOffset || wait == 0L -> state.with(recordsResponse(topic, call.exchangeId, offset))
            else -> {
                val read = WaitingRead(call.exchangeId, call.query.getValue("topic"), offset, now + wait)
                state.copy(waitingReads = state.waitingReads.add(read)).unchanged()
            }
        }
    }

    /** Responds to [reads] with the records that exist, and removes them from the waiting reads. */
    fun completeReads(state: StoreState, reads: List<WaitingRead>): StoreStep {
        val answered = state.copy(waitingReads = state.waitingReads.filter { it !in reads }.toPersistentList())
        return answered.unchanged().thenEach(reads) { current, read ->
            current.with(recordsResponse(current.topic(read.topic), read.exchangeId, read.offset))
        }
    }

    /**
     * Responds with the newest record of each key that has a value, ordered by key. All are on one page: the parameter
     * `after`, which the store's clients send, is ignored.
     */
    fun readNewest(state: StoreState, call: HttpCall): StoreStep {
        val topic = state.topic(call)
        val entries = buildJsonArray {
            topic.newestByKey.values.filter { it.value != null }.sortedBy { it.key }.forEach { add(entry(it)) }
        }
        val body = buildJsonObject {
            put("entries", entries)
            put("has_more", false)
            put("end_offset", topic.endOffset)
        }
        return state.with(HttpEffect.Respond(call.exchangeId, body = body.toString()))
    }

    private fun recordsResponse(topic: StoredTopic, exchangeId: String, offset: Long): HttpEffect =
        HttpEffect.Respond(exchangeId, body = StoreRecords.encode(topic, offset))

    private fun entry(record: StoredRecord): JsonObject = buildJsonObject {
        put("key", record.key)
        put("data", Base64.getEncoder().encodeToString(record.value.orEmpty().toByteArray(Charsets.ISO_8859_1)))
        put("offset", record.offset)
    }

    private fun StoreState.topic(call: HttpCall): StoredTopic = topic(call.query.getValue("topic"))

    private fun StoreState.topic(name: String): StoredTopic = topics[name] ?: StoredTopic()

    private fun StoreState.with(call: HttpCall, topic: StoredTopic): StoreState =
        copy(topics = topics.put(call.query.getValue("topic"), topic))
}
