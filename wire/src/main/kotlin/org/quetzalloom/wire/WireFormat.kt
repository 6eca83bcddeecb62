package org.quetzalloom.wire

import kotlinx.serialization.json.Json

/** The JSON dialect of all messages: unknown fields are ignored, so that versions of the router can be mixed. */
public val WireFormat: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
    explicitNulls = false
}
