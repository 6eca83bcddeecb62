package org.quetzalloom.daemon.peer

import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.collections.immutable.PersistentMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.daemon.client.ResponseCheck
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.peer.PeerEnvelope
import org.quetzalloom.wire.peer.toDocument
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Sends messages to peers. A message that cannot be delivered is dropped; the core tolerates lost messages. */
internal class PeerClient(
    private val client: HttpClient,
    private val scope: CoroutineScope,
    private val self: VmId,
    private val addresses: PersistentMap<VmId, String>,
) {
    /** Starts to send the message of [effect], or does nothing if the address of the peer is not known. */
    fun carryOut(effect: Effect.SendToPeer) {
        val address = addresses[effect.to] ?: return
        val envelope = PeerEnvelope(self.value, effect.stamp, effect.message.toDocument())
        scope.launch { send(address, WireFormat.encodeToString(envelope)) }
    }

    private suspend fun send(address: String, body: String) {
        try {
            ResponseCheck.rejectingInvalid {
                client.post("http://$address/peers") {
                    timeout { requestTimeoutMillis = TIMEOUT_MILLISECONDS }
                    contentType(ContentType.Application.Json)
                    setBody(body)
                }
            }
        } catch (problem: IOException) {
            logger.debug("event=peer_unreachable address={} problem=\"{}\"", address, problem.message)
        }
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 1_000L
        val logger: Logger = LoggerFactory.getLogger(PeerClient::class.java)
    }
}
