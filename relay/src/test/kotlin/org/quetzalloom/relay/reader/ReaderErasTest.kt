package org.quetzalloom.relay.reader

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.netty.buffer.ByteBuf
import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedAnswer
import org.quetzalloom.core.relay.feed.FeedRecord
import org.quetzalloom.core.relay.feed.RecordContent
import org.quetzalloom.relay.http.Address
import org.quetzalloom.relay.http.CallClient
import org.quetzalloom.standins.scripted.ScriptedServer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Routers tell each other the era of the store beside what earlier versions know. */
class ReaderErasTest {
    private val group = NioEventLoopGroup(1)
    private val posted = mutableListOf<RelayEvent>()
    private val server = ReaderServer(ownAddress = null) { posted += it }
    private val answer = FeedAnswer(
        records = persistentListOf(FeedRecord("config", 7, RecordContent("text".toByteArray()), entry = null)),
        nextOffset = 8,
        snapshot = true,
        ageMilliseconds = 30,
        storeFailedMillisecondsAgo = null,
        generation = 3,
    )

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun askedEra(query: String): Long {
        server.receive("/feed?name=ORDERS&wait=0&from=7$query") { _, _, _ -> }
        return (posted.last() as RelayEvent.FeedAsked).era
    }

    @Test
    fun `a call tells the era of its offset, or none`() {
        assertEquals(listOf(6L, 0L, 0L), listOf("&era=6", "", "&era=new").map { askedEra(it) })
    }

    /** Returns the body and the headers of the response with [answer]. */
    private fun response(answer: FeedAnswer): Pair<ByteBuf, Map<String, List<String>>> {
        var response: Pair<ByteBuf, Map<String, List<String>>>? = null
        server.receive("/feed?name=ORDERS&wait=0") { _, body, headers -> response = body to headers }
        server.carryOut(RelayEffect.AnswerFeed((posted.last() as RelayEvent.FeedAsked).call, answer))
        return checkNotNull(response)
    }

    @Test
    fun `an answer tells its era beside a body that does not change with it`() {
        val (body, headers) = response(answer.copy(era = 6))
        val (earlierBody, earlierHeaders) = response(answer)
        assertEquals(mapOf("X-Quetzalloom-Store-Era" to listOf("6")) to emptyMap(), headers to earlierHeaders)
        assertEquals(earlierBody, body)
        assertEquals(answer, FeedAnswerFormat.decode(body))
    }

    /** Reads through a router that responds with [headers]; returns the target of the request and the era. */
    private fun read(era: Long, headers: Map<String, String>): Pair<String, Long> {
        val body = FeedAnswerFormat.encode(answer).toString(Charsets.ISO_8859_1)
        return ScriptedServer { it.respond("200 OK", headers, body) }.start().use { reader ->
            val result = CompletableFuture<Result<FeedAnswer, String>>()
            val effect = RelayEffect.ReadFeed(Feed.ORDERS, 7, 0, readerTimeoutMilliseconds = TIMEOUT, era = era)
            val client = ReaderClient(CallClient(group))
            group.next().execute {
                client.read(effect, Address("127.0.0.1", reader.port)) { result.complete(it) }
            }
            val read = result.get(TIMEOUT, TimeUnit.MILLISECONDS).fold({ it }, { error(it) })
            assertEquals(answer, read.copy(era = 0))
            reader.requests.single().requestLine.split(' ')[1] to read.era
        }
    }

    @Test
    fun `a reader is told the era if it is known, and its answer may tell none`() {
        val path = "/feed?name=ORDERS&wait=0&from=7"
        assertEquals("$path&era=6" to 6L, read(era = 6, mapOf("X-Quetzalloom-Store-Era" to "6")))
        assertEquals("$path&era=6" to 0L, read(era = 6, emptyMap()))
        assertEquals(path to 0L, read(era = 0, mapOf("X-Quetzalloom-Store-Era" to "six")))
    }

    private companion object {
        const val TIMEOUT = 2_000L
    }
}
