package org.quetzalloom.standins.store

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import org.quetzalloom.standins.http.HttpCall
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.with
import org.quetzalloom.wire.WireFormat

/**
 * The only consumer group of the store. Each member owns one partition: the one whose number is the member's index in
 * the order of joining. Members never leave.
 */
internal object StoreGroup {
    /**
     * Adds the member named in the body, unless it has joined before.
     *
     * Responds with the generation of the group and the member's partition.
     */
    fun join(state: StoreState, call: HttpCall): StoreStep {
        val member = WireFormat.decodeFromString<JsonObject>(call.body).getValue("member_id").jsonPrimitive.content
        val next = if (member in state.members) state else state.add(member)
        val owned = next.ownerRows().filter { it.last().jsonPrimitive.content == member }
        return next.with(HttpEffect.Respond(call.exchangeId, body = responseBody(next, owned)))
    }

    /** Responds with the generation of the group and the owner of each partition. */
    fun listOwners(state: StoreState, call: HttpCall): StoreStep =
        state.with(HttpEffect.Respond(call.exchangeId, body = responseBody(state, state.ownerRows())))

    private fun StoreState.add(member: String): StoreState =
        copy(members = members.add(member), generation = generation + 1)

    private fun StoreState.ownerRows(): List<JsonArray> = members.mapIndexed { index, member ->
        JsonArray(listOf(JsonPrimitive("routers-0"), JsonPrimitive(index), JsonPrimitive(member)))
    }

    private fun responseBody(state: StoreState, ownerRows: List<JsonArray>): String = buildJsonObject {
        put("generation", state.generation)
        put("parts", JsonArray(ownerRows))
    }.toString()
}
