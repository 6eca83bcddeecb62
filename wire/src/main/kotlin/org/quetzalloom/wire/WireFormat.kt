package org.quetzalloom.wire

import kotlinx.serialization.json.Json

/**
 * The JSON format of all messages between the processes of the router in the `daemon` module, its backend servers and
 * its platform services. The router in the `relay` and `platform` modules has formats of its own.
 *
 * Unknown fields are ignored, so that routers of different releases can exchange messages. Fields that are `null` or
 * have their default value are not written.
 */
public val WireFormat: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
    explicitNulls = false
}
