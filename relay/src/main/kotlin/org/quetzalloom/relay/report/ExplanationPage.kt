package org.quetzalloom.relay.report

import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.exchange.PromptPart
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.explain.explain
import org.quetzalloom.core.time.Clock
import org.quetzalloom.relay.http.StatusServer.Page
import org.quetzalloom.relay.http.StatusServer.PageRequest

/**
 * Answers `GET /explain`, which asks where a request would go now, to callers on the same machine only.
 *
 * The query names `host` and `path`, and optionally `key` or `workspace`, `id`, `session`, `time_left_ms`, and for a
 * model `prompt` (parts such as `c035:800,91bd:410`) and `output_tokens`. Nothing is sent or changed.
 */
internal class ExplanationPage(private val clock: Clock, private val state: () -> RelayState) {
    /** Returns the answer to [request], or `null` if it asks for something else. */
    fun pageOrNull(request: PageRequest): Page? {
        val query = QueryStringDecoder(request.uri)
        return when {
            query.path() != PATH -> null
            !request.isLocal -> Page(HttpResponseStatus.FORBIDDEN, "only callers on this machine may ask\n")
            else -> answer(query, state())
        }
    }

    private fun answer(query: QueryStringDecoder, current: RelayState): Page =
        runCatching { query.toRequest(current) }.fold(
            onSuccess = { request ->
                val explanation = current.explain(request, clock.now())
                Page(HttpResponseStatus.OK, ExplanationFormat.encode(explanation), JSON)
            },
            onFailure = { Page(HttpResponseStatus.BAD_REQUEST, "${it.message}\n") },
        )

    private fun QueryStringDecoder.toRequest(state: RelayState): RelayRequest {
        val prompt = valueOrNull("prompt")?.split(',')?.map { parsePart(it) }.orEmpty()
        val workspace = valueOrNull("workspace")
        return RelayRequest(
            callerId = valueOrNull("id"),
            host = requireNotNull(valueOrNull("host")) { "the parameter host is missing" },
            path = requireNotNull(valueOrNull("path")) { "the parameter path is missing" },
            key = if (workspace == null) valueOrNull("key") else state.keyOf(workspace),
            timeLeftMilliseconds = valueOrNull("time_left_ms")?.toLong(),
            routerChoosesModel = prompt.isNotEmpty(),
            prompt = prompt.toPersistentList(),
            promptTokens = prompt.sumOf { it.tokens },
            outputTokens = valueOrNull("output_tokens")?.toInt() ?: 0,
            session = valueOrNull("session"),
        )
    }

    private fun RelayState.keyOf(workspace: String): String =
        requireNotNull(keyOfOrNull(workspace)) { "no key of the workspace $workspace is known" }

    private fun parsePart(text: String): PromptPart {
        val tokens = text.substringAfterLast(':', missingDelimiterValue = "").toIntOrNull()
        return PromptPart(
            id = text.substringBeforeLast(':'),
            tokens = requireNotNull(tokens) { "the prompt part '$text' does not name its tokens" },
        )
    }

    private fun QueryStringDecoder.valueOrNull(name: String): String? = parameters()[name]?.firstOrNull()

    private companion object {
        const val PATH = "/explain"
        const val JSON = "application/json"
    }
}
