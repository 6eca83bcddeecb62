package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.time.Timestamp

/**
 * One try of a request at one backend server.
 *
 * @property number from 1.
 * @property version the version of the backend server's software.
 * @property modelIndex the place of the model among those of the route, from 0.
 * @property workUntilAnswer the prompts that were to be read there before its answer could begin, its own among them.
 * @property work the prompt that the backend server has still to read, weighed by model; 0 once its answer has begun.
 */
internal data class Attempt(
    val number: Int,
    val server: BackendServerId,
    val version: String,
    val modelIndex: Int,
    val sentAt: Timestamp,
    val workUntilAnswer: Long = 0,
    val work: Long = 0,
)
