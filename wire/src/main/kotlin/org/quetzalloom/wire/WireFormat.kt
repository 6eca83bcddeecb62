package org.quetzalloom.wire

import kotlinx.serialization.json.Json

/**
 * The JSON format of all messages between processes.
 *
 * Unknown fields are ignored, so that routers of different releases can exchange messages. Fields that are `null` or
 * have their default value are not written.
 */
public val WireFormat: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
    explicitNulls = false
}
