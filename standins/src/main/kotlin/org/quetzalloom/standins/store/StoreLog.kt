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

/** The topics of the store. */
internal object StoreLog {
    private const val CONFLICT = 412
    private const val GONE = 410

    /** Drops the history of a topic, but for the newest record of each key. */
    fun forget(state: StoreState, call: HttpCall): StoreStep {
        val topic = state.topic(call)
        val forgotten = topic.copy(records = topic.records.clear(), first = topic.end)
        return state.with(call, forgotten).with(HttpEffect.Respond(call.exchange))
    }

    /** Appends the record in the body, unless the topic no longer ends where the call says. */
    fun append(state: StoreState, call: HttpCall): StoreStep {
        val topic = state.topic(call)
        val at = call.query["at"]?.toLong()
        if (at != null && at != topic.end) return state.with(HttpEffect.Respond(call.exchange, status = CONFLICT))
        val record = StoreRecords.decode(call.body, topic.end)
        val next = topic.copy(
            records = topic.records.add(record),
            end = topic.end + 1,
            newest = topic.newest.put(record.key, record),
        )
        val reply = buildJsonObject {
            put("offset", topic.end)
            put("end_offset", next.end)
        }
        return state.with(call, next).with(HttpEffect.Respond(call.exchange, body = reply.toString()))
            .then { reached -> answer(reached, reached.waiting.filter { it.offset < reached.topic(it.topic).end }) }
    }

    /** Answers with the records from an offset on, at once or as soon as there is one. */
    fun read(state: StoreState, call: HttpCall, now: Timestamp): StoreStep {
        val topic = state.topic(call)
        val offset = call.query.getValue("source").toLong()
        val wait = call.query["wait_ms"]?.toLong() ?: 0
        return when {
            offset < topic.first -> state.with(HttpEffect.Respond(call.exchange, status = GONE))
            offset < topic.end || wait == 0L -> state.with(reply(topic, call.exchange, offset))
            else -> {
                val read = WaitingRead(call.exchange, call.query.getValue("topic"), offset, now + wait)
                state.copy(waiting = state.waiting.add(read)).unchanged()
            }
        }
    }

    /** Answers [reads], which were waiting. */
    fun answer(state: StoreState, reads: List<WaitingRead>): StoreStep {
        val left = state.copy(waiting = state.waiting.filter { it !in reads }.toPersistentList())
        return left.unchanged().thenEach(reads) { reached, read ->
            reached.with(reply(reached.topic(read.topic), read.exchange, read.offset))
        }
    }

    /** Answers with the newest record of each key. */
    fun newest(state: StoreState, call: HttpCall): StoreStep {
        val topic = state.topic(call)
        val entries = buildJsonArray {
            topic.newest.values.filter { it.value != null }.sortedBy { it.key }.forEach { add(entry(it)) }
        }
        val reply = buildJsonObject {
            put("entries", entries)
            put("has_more", false)
            put("end_offset", topic.end)
        }
        return state.with(HttpEffect.Respond(call.exchange, body = reply.toString()))
    }

    private fun reply(topic: StoredTopic, exchange: String, offset: Long): HttpEffect =
        HttpEffect.Respond(exchange, body = StoreRecords.encode(topic, offset))

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
