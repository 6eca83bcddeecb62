package org.quetzalloom.daemon.client

import org.quetzalloom.core.backend.AttemptFailure
import org.quetzalloom.standins.scripted.ScriptedServer
import kotlin.test.fail

/** Runs a call against servers that stop in the middle of a response, one for each byte after which they stop. */
internal object CutResponses {
    private const val PAUSE_MILLISECONDS = 25L

    /**
     * Checks the result of [call] for each cut of [response], from no byte to all but the last. After the cut, a server
     * writes [second], unless it is empty, after a pause, and closes the connection.
     *
     * @param call starts a call to the server on a port and returns a function that waits for its result.
     * @param isRight whether a result is right.
     */
    fun <T> check(response: String, second: String, call: (port: Int) -> () -> T, isRight: (T) -> Boolean) {
        val servers = response.indices.map { server(response.take(it), second) }
        val results = servers.map { call(it.port) }.map { it() }
        val wrong = results.indices.filterNot { isRight(results[it]) || results[it].isUnsent(servers[it]) }
        servers.forEach { it.close() }
        val examples = wrong.groupBy { results[it] }
            .map { (result, cuts) -> "${cuts.size} from ${cuts.first()}: $result" }
        if (wrong.isNotEmpty()) fail("${wrong.size} of ${results.size} cuts: ${examples.joinToString("; ")}")
    }

    /** Returns whether this result says that the request was not sent, and [server] has indeed not received it. */
    private fun Any?.isUnsent(server: ScriptedServer) =
        this == Outcome.Failed(AttemptFailure.NOT_SENT) && server.requests.isEmpty()

    private fun server(first: String, second: String) = ScriptedServer { request ->
        request.write(first)
        if (second.isNotEmpty()) {
            Thread.sleep(PAUSE_MILLISECONDS)
            request.write(second)
            Thread.sleep(PAUSE_MILLISECONDS)
        }
        request.close()
    }.start()
}
