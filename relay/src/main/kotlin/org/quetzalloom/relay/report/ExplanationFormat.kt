package org.quetzalloom.relay.report

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.quetzalloom.core.relay.explain.Beliefs
import org.quetzalloom.core.relay.explain.Explanation
import org.quetzalloom.core.relay.explain.RolloutExplanation
import org.quetzalloom.core.relay.explain.ServerExplanation
import org.quetzalloom.core.relay.explain.Verdict

/** Encodes explanations as JSON. Times are in milliseconds. */
internal object ExplanationFormat {
    /** Returns [explanation] as JSON. */
    fun encode(explanation: Explanation): String = buildJsonObject {
        putJsonObject("verdict") { putVerdict(explanation.verdict) }
        put("route", explanation.route)
        put("service", explanation.service?.value)
        put("workspace", explanation.workspace?.value)
        explanation.rollout?.let { putJsonObject("rollout") { putRollout(it) } }
        put("known_servers", explanation.serverCount)
        putJsonObject("left_out") {
            explanation.exclusionCounts.forEach { (exclusion, count) -> put(exclusion.name.lowercase(), count) }
        }
        putJsonArray("servers") { explanation.servers.forEach { addJsonObject { putServer(it) } } }
        putJsonObject("beliefs") { putBeliefs(explanation.beliefs) }
    }.toString()

    private fun JsonObjectBuilder.putVerdict(verdict: Verdict) {
        when (verdict) {
            is Verdict.Sent -> {
                put("outcome", "sent")
                put("server", verdict.server.value)
                put("version", verdict.version)
                put("model", verdict.model)
            }
            is Verdict.Waits -> {
                put("outcome", "waits")
                put("up_to_ms", verdict.milliseconds)
                put("then", verdict.refusal?.let { refusal(it) } ?: JsonObject(emptyMap()))
            }
            is Verdict.Refused -> refusal(verdict).forEach { (name, value) -> put(name, value) }
        }
    }

    private fun refusal(refused: Verdict.Refused): JsonObject = buildJsonObject {
        put("outcome", "refused")
        put("kind", refused.kind.code)
        put("detail", refused.detail)
        put("retry_after_ms", refused.retryAfterMilliseconds)
    }

    private fun JsonObjectBuilder.putRollout(rollout: RolloutExplanation) {
        put("version", rollout.version)
        put("phase", rollout.phase?.name?.lowercase())
        put("age_ms", rollout.ageMilliseconds)
        put("share", rollout.share)
        put("condemned", rollout.condemned)
        put("session_on_old", rollout.sessionOnOld)
    }

    private fun JsonObjectBuilder.putServer(server: ServerExplanation) {
        put("server", server.server.value)
        put("zone", server.zone.value)
        put("version", server.version)
        put("rank", server.rank)
        putJsonArray("left_out_for") { server.exclusions.forEach { add(it.name.lowercase()) } }
        put("forecast_start_ms", server.forecast?.startMilliseconds)
        put("forecast_end_ms", server.forecast?.endMilliseconds)
        put("slots", server.slots)
        put("load", server.load)
        put("in_flight", server.inFlight)
        put("work_ahead", server.workAhead)
        put("failure_rate", server.failureRate)
        put("slowness", server.slowness)
        put("load_age_ms", server.loadAgeMilliseconds)
    }

    private fun JsonObjectBuilder.putBeliefs(beliefs: Beliefs) {
        put("configuration", beliefs.configurationVersion)
        put("servers_age_ms", beliefs.serversAgeMilliseconds)
        put("store_failures", beliefs.storeFailures)
        put("members", beliefs.members)
        put("routers_heard", beliefs.routersHeard)
        put("oldest_beacon_ms", beliefs.oldestBeaconMilliseconds)
    }
}
