package org.quetzalloom.relay.peer

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.peer.PeerBeacon

/** Beacons as JSON. */
internal object BeaconFormat {
    @Serializable
    private class Document(val vm: String, val sequence: Long, val work: Map<String, Long>)

    private val json = Json { ignoreUnknownKeys = true }

    /** Returns [beacon] as JSON. */
    fun encode(beacon: PeerBeacon): String = json.encodeToString(
        Document(beacon.vm.value, beacon.sequence, beacon.work.entries.associate { it.key.value to it.value }),
    )

    /** Returns the beacon in [text]. Throws [IllegalArgumentException] if it is none. */
    fun decode(text: String): PeerBeacon {
        val document = json.decodeFromString<Document>(text)
        return PeerBeacon(
            vm = VmId(document.vm),
            sequence = document.sequence,
            work = document.work.entries.associate { BackendServerId(it.key) to it.value }.toPersistentMap(),
        )
    }
}
