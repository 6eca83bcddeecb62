package org.quetzalloom.standins.store

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpCall
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.HttpEvent
import org.quetzalloom.standins.http.StandIn
import org.quetzalloom.standins.http.notFound
import org.quetzalloom.standins.http.unchanged
import org.quetzalloom.standins.http.with
import org.quetzalloom.wire.WireFormat
import java.util.Base64

private typealias StoreStep = Transition<StoreState, HttpEffect>

/**
 * Stands in for the platform's metadata store, as far as routers use it: keyed topics with one partition, and one group.
 *
 * `PUT /fault?mode=MODE` sets a [StoreFault]; `PUT /forget?topic=NAME` drops the history of a topic, and keeps the newest
 * record of each key.
 */
class StoreStandIn : StandIn<StoreState> {
    override val initial: StoreState = StoreState()
    override val binary: Boolean get() = true

    override fun reduce(state: StoreState, event: HttpEvent, now: Timestamp): StoreStep = when (event) {
        is HttpEvent.Called -> call(state, event.call, now)
        is HttpEvent.Left -> state.copy(waiting = state.waiting.removeAll { it.exchange == event.exchange }).unchanged()
        HttpEvent.Tick -> state.answerDue(now)
    }

    private fun call(state: StoreState, call: HttpCall, now: Timestamp): StoreStep = when {
        call.matches("PUT", "/fault") -> state.copy(fault = StoreFault.valueOf(call.query.getValue("mode"))).done(call)
        call.matches("PUT", "/forget") -> state.forget(call)
        state.fault == StoreFault.REFUSES -> state.with(HttpEffect.Respond(call.exchange, status = UNAVAILABLE))
        state.fault == StoreFault.LOSES_ANSWERS -> {
            val done = serve(state, call, now).state
            done.copy(waiting = state.waiting).with(HttpEffect.Abort(call.exchange))
        }
        else -> serve(state, call, now)
    }

    private fun serve(state: StoreState, call: HttpCall, now: Timestamp): StoreStep = when (call.path) {
        "/-/log-append" -> state.append(call)
        "/-/log-read" -> state.read(call, now)
        "/-/log-newest" -> state.newest(call)
        "/-/log-join" -> state.join(call)
        "/-/log-owners" -> state.owners(call)
        else -> state.with(call.notFound())
    }

    private fun StoreState.topic(call: HttpCall): StoredTopic = topics[call.query["topic"]] ?: StoredTopic()

    private fun StoreState.with(call: HttpCall, topic: StoredTopic): StoreState =
        copy(topics = topics.put(call.query.getValue("topic"), topic))

    private fun StoreState.done(call: HttpCall): StoreStep = with(HttpEffect.Respond(call.exchange, body = "{}"))

    private fun StoreState.forget(call: HttpCall): StoreStep {
        val topic = topic(call)
        return with(call, topic.copy(records = topic.records.clear(), first = topic.end)).done(call)
    }

    private fun StoreState.append(call: HttpCall): StoreStep {
        val topic = topic(call)
        val at = call.query["at"]?.toLong()
        if (at != null && at != topic.end) return with(HttpEffect.Respond(call.exchange, status = CONFLICT))
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
        return with(call, next).with(HttpEffect.Respond(call.exchange, body = reply.toString())).then { it.wake() }
    }

    private fun StoreState.read(call: HttpCall, now: Timestamp): StoreStep {
        val topic = topic(call)
        val offset = call.query.getValue("source").toLong()
        val wait = call.query["wait_ms"]?.toLong() ?: 0
        return when {
            offset < topic.first -> with(HttpEffect.Respond(call.exchange, status = GONE))
            offset < topic.end || wait == 0L -> with(topic.reply(call.exchange, offset))
            else -> copy(
                waiting = waiting.add(WaitingRead(call.exchange, call.query.getValue("topic"), offset, now + wait)),
            ).unchanged()
        }
    }

    private fun StoredTopic.reply(exchange: String, offset: Long): HttpEffect =
        HttpEffect.Respond(exchange, body = StoreRecords.encode(this, offset))

    private fun StoreState.wake(): StoreStep =
        answer(waiting.filter { it.offset < (topics[it.topic]?.end ?: 0) })

    private fun StoreState.answerDue(now: Timestamp): StoreStep = answer(waiting.filter { it.dueAt <= now })

    private fun StoreState.answer(reads: List<WaitingRead>): StoreStep {
        val left = copy(waiting = waiting.filter { it !in reads }.toPersistentList())
        return left.unchanged().thenEach(reads) { reached, read ->
            reached.with((reached.topics[read.topic] ?: StoredTopic()).reply(read.exchange, read.offset))
        }
    }

    private fun StoreState.newest(call: HttpCall): StoreStep {
        val topic = topic(call)
        val entries = buildJsonArray {
            topic.newest.values.filter { it.value != null }.sortedBy { it.key }.forEach { add(it.toEntry()) }
        }
        val reply = buildJsonObject {
            put("entries", entries)
            put("has_more", false)
            put("end_offset", topic.end)
        }
        return with(HttpEffect.Respond(call.exchange, body = reply.toString()))
    }

    private fun StoredRecord.toEntry(): JsonObject = buildJsonObject {
        put("key", key)
        put("data", Base64.getEncoder().encodeToString(value.orEmpty().toByteArray(Charsets.ISO_8859_1)))
        put("offset", offset)
    }

    private fun StoreState.join(call: HttpCall): StoreStep {
        val member = WireFormat.decodeFromString<JsonObject>(call.body).getValue("member_id").jsonPrimitive.content
        val next = if (member in members) this else copy(members = members.add(member), generation = generation + 1)
        val held = next.rows().filter { it.last().jsonPrimitive.content == member }
        return next.with(HttpEffect.Respond(call.exchange, body = reply(next.generation, held)))
    }

    private fun StoreState.owners(call: HttpCall): StoreStep =
        with(HttpEffect.Respond(call.exchange, body = reply(generation, rows())))

    private fun reply(generation: Long, rows: List<JsonArray>): String = buildJsonObject {
        put("generation", generation)
        put("parts", JsonArray(rows))
    }.toString()

    private fun StoreState.rows(): List<JsonArray> = members.mapIndexed { index, member ->
        JsonArray(listOf(JsonPrimitive("routers-0"), JsonPrimitive(index), JsonPrimitive(member)))
    }

    private companion object {
        const val UNAVAILABLE = 503
        const val CONFLICT = 412
        const val GONE = 410
    }
}
