package org.quetzalloom.relay.reader

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedAnswer
import org.quetzalloom.relay.http.Address

/** Sends the response to a call, with its headers by their names. */
internal typealias Responder = (HttpResponseStatus, ByteBuf, Map<String, List<String>>) -> Unit

/**
 * Posts the calls of routers that read the store through this one, and responds to them as the reducer answers.
 *
 * Confined to the event loop's thread.
 *
 * @param ownAddress the address of this router for the others.
 * @param post posts an event to the reducer.
 */
internal class ReaderServer(private val ownAddress: Address?, private val post: (RelayEvent) -> Unit) {
    private var waiting = persistentMapOf<Long, Responder>()
    private var lastCall = 0L

    /** Returns whether calls of [path] are for this server. */
    fun accepts(path: String): Boolean = path == ReaderPaths.FEED || path == ReaderPaths.MEMBERS

    /** Posts the call of [uri], whose response goes to [respond]. */
    fun receive(uri: String, respond: Responder) {
        val query = QueryStringDecoder(uri)
        val call = ++lastCall
        val event = when (query.path()) {
            ReaderPaths.FEED -> feedCallOrNull(call, query)
            else -> query.numberOrNull(ReaderPaths.GENERATION)?.let { RelayEvent.MembersAsked(call, it) }
        }
        if (event == null) return respond(HttpResponseStatus.BAD_REQUEST, text("the query is incomplete\n"), emptyMap())
        waiting = waiting.put(call, respond)
        post(event)
    }

    /** Responds to the call of [effect] if it answers one; ignores any other effect. */
    fun carryOut(effect: RelayEffect) {
        when (effect) {
            is RelayEffect.AnswerFeed -> answerFeed(effect.call, effect.answer)
            is RelayEffect.AnswerMembers -> respond(effect.call, effect.addresses?.let { encodeMembers(effect) })
            else -> Unit
        }
    }

    private fun answerFeed(call: Long, answer: FeedAnswer?) {
        val era = answer?.era ?: 0
        val headers = if (era == 0L) emptyMap() else mapOf(ReaderPaths.ERA_HEADER to listOf("$era"))
        respond(call, answer?.let { FeedAnswerFormat.encode(it) }, headers)
    }

    private fun respond(call: Long, body: ByteBuf?, headers: Map<String, List<String>> = emptyMap()) {
        val respond = waiting[call] ?: return
        waiting = waiting.remove(call)
        if (body != null) return respond(HttpResponseStatus.OK, body, headers)
        respond(HttpResponseStatus.SERVICE_UNAVAILABLE, text("this router has not read it\n"), emptyMap())
    }

    private fun feedCallOrNull(call: Long, query: QueryStringDecoder): RelayEvent.FeedAsked? {
        val name = query.parameters()[ReaderPaths.FEED_NAME]?.firstOrNull()
        val feed = Feed.entries.firstOrNull { it.name == name }
        val wait = query.numberOrNull(ReaderPaths.WAIT)
        val from = query.numberOrNull(ReaderPaths.FROM)
        val era = query.numberOrNull(ReaderPaths.ERA) ?: 0
        return if (feed == null || wait == null) null else RelayEvent.FeedAsked(call, feed, from, wait, era)
    }

    private fun encodeMembers(effect: RelayEffect.AnswerMembers): ByteBuf {
        val lines = effect.addresses.orEmpty().map { (vm, address) -> "$vm ${address.ifEmpty { "$ownAddress" }}\n" }
        return text(lines.joinToString(""))
    }

    private fun QueryStringDecoder.numberOrNull(name: String): Long? =
        parameters()[name]?.firstOrNull()?.toLongOrNull()

    private fun text(text: String): ByteBuf = Unpooled.copiedBuffer(text, Charsets.UTF_8)
}
