package org.quetzalloom.relay.soak

import org.quetzalloom.standins.scripted.ScriptedRequest
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * The script of a backend server that breaks off many of its responses at any byte and goes on in some other way.
 *
 * What it does with a request depends only on [seed], [name] and the request's id.
 *
 * @param responses receives each response that the server has for a request, by its signature.
 */
class FaultyServer(
    private val name: String,
    private val seed: Long,
    private val responses: ConcurrentHashMap<String, ServerResponse>,
) : (ScriptedRequest) -> Unit {
    /** What follows a response that has been broken off, or is complete. */
    private enum class Continuation { NOTHING, CLOSE, RESET, COPY, ERROR, EARLIER_RESPONSE, GARBAGE }

    /** The last response on the connection, each of which has its own thread. */
    private val earlier = ThreadLocal.withInitial { "" }

    override fun invoke(request: ScriptedRequest) {
        val id = request.headers.getValue("id")
        val random = Random(seed * PRIME + "$name $id ${request.headers["last-event-id"]}".hashCode())
        val response = respond(id, request, random)
        val text = response.encode()
        if (random.nextDouble() < SOUND_SHARE) request.write(text) else spoil(request, response, random)
        earlier.set(text)
        if (!response.endsByItself || random.nextInt(4) == 0) request.close()
    }

    private fun respond(id: String, request: ScriptedRequest, random: Random): ServerResponse {
        val framing = ServerResponse.Framing.values().random(random)
        val response = if ("/draft/" in request.requestLine) {
            val next = (request.headers["last-event-id"]?.toInt() ?: 0) + 1
            val events = (next..ServerResponse.EVENTS).joinToString("") { ServerResponse.event(id, it) }
            ServerResponse("200 OK", id, "$name/$id/stream", events, framing, isStream = true)
        } else {
            val status = if (random.nextInt(3) == 0) "500 Internal Server Error" else "200 OK"
            ServerResponse(status, id, "$name/$id", "$name for $id ".repeat(random.nextInt(1, 12)), framing)
        }
        return response.also { responses[it.signature] = it }
    }

    private fun spoil(request: ScriptedRequest, response: ServerResponse, random: Random) {
        val text = response.encode()
        val cut = random.nextInt(text.length + 1)
        val continuation = continuation(response, cut, random)
        request.write(text.take(cut))
        Thread.sleep(PAUSE_MILLISECONDS)
        when (continuation) {
            Continuation.NOTHING -> Thread.sleep(PAUSE_MILLISECONDS)
            Continuation.CLOSE -> request.close()
            Continuation.RESET -> request.reset()
            Continuation.COPY -> request.write(text)
            Continuation.ERROR -> request.write(error(response).encode())
            Continuation.EARLIER_RESPONSE -> request.write(earlier.get())
            // Nothing tells the rest of a body with a length from other bytes.
            Continuation.GARBAGE -> if (cut < response.headLength) request.write("x\u0001y: HTTP\r\n\r\nz")
        }
        if (random.nextInt(4) > 0) request.close()
    }

    /** A part of a body that ends with its connection looks whole, unless that is reset or something follows. */
    private fun continuation(response: ServerResponse, cut: Int, random: Random): Continuation {
        val chosen = Continuation.values().random(random)
        val following = chosen == Continuation.COPY || chosen == Continuation.ERROR
        val looksWhole = !response.endsByItself && cut >= response.headLength && !following
        return if (looksWhole) Continuation.RESET else chosen
    }

    private fun error(response: ServerResponse) = ServerResponse(
        "500 Internal Server Error",
        response.id,
        "${response.signature}/error",
        "problem of ${response.id}",
        ServerResponse.Framing.LENGTH,
    ).also { responses[it.signature] = it }

    companion object {
        /** The share of responses that are written as they are. */
        const val SOUND_SHARE = 0.5
        private const val PAUSE_MILLISECONDS = 25L
        private const val PRIME = 1_000_003L
    }
}
