package org.quetzalloom.core.configuration

import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.log.LogEntry
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.log.LogStream
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.enqueue
import org.quetzalloom.core.router.rendezvousOrNull
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.sendToPeer
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Reads the configuration stream of the log, exchanges newer revisions with peers, and appends snapshots to the stream.
 *
 * A snapshot keeps the configuration readable after the log has expired the records that led to it. Rendezvous hashing
 * over the live VMs selects the one that writes it.
 */
internal object ConfigurationPart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.OfPlatform.LogRead -> state.recordContact(now).onLogRead(event, now)
        is Event.FromPeer -> state.recordContact(now).onPeerMessage(event, now)
        is Event.Tick -> state.writeSnapshotIfDue(now)
        else -> state.unchanged()
    }

    private fun RouterState.recordContact(now: Timestamp): RouterState =
        copy(configuration = configuration.copy(lastContactAt = now))

    private fun RouterState.onLogRead(event: Event.OfPlatform.LogRead, now: Timestamp): Step {
        if (event.stream != LogStream.CONFIGURATION) return unchanged()
        return event.entries.fold(unchanged()) { transition, entry -> transition.then { it.applyEntry(entry, now) } }
    }

    private fun RouterState.applyEntry(entry: LogEntry, now: Timestamp): Step {
        val record = (entry.record as? LogRecord.OfConfiguration)?.record ?: return unchanged()
        val snapshotAt = if (record is ConfigurationRecord.Snapshot) now else configuration.snapshotAt
        return copy(configuration = configuration.copy(snapshotAt = snapshotAt))
            .withView(configuration.view.read(record), "log", now)
    }

    private fun RouterState.onPeerMessage(
        event: Event.FromPeer,
        now: Timestamp,
    ): Step = when (val message = event.message) {
        is PeerMessage.Digest -> answerDigest(event.from, message)
        is PeerMessage.AskConfiguration -> sendConfiguration(event.from)
        is PeerMessage.TellConfiguration ->
            withView(configuration.view.adopt(message.configuration), event.from.value, now)
        else -> unchanged()
    }

    private fun RouterState.answerDigest(from: VmId, digest: PeerMessage.Digest): Step {
        val own = configuration.view.revision
        return when {
            digest.revision > own -> sendToPeer(from, PeerMessage.AskConfiguration)
            digest.revision < own -> sendConfiguration(from)
            else -> unchanged()
        }
    }

    private fun RouterState.sendConfiguration(to: VmId): Step {
        val current = configuration.view.current ?: return unchanged()
        return sendToPeer(to, PeerMessage.TellConfiguration(current))
    }

    private fun RouterState.withView(view: ConfigurationView, source: String, now: Timestamp): Step {
        val updated = copy(configuration = configuration.copy(view = view))
        if (view.revision == configuration.view.revision) return updated.unchanged()
        return updated.report(now, "configuration_in_force", "revision" to view.revision, "source" to source)
    }

    private fun RouterState.writeSnapshotIfDue(now: Timestamp): Step {
        val current = configuration.view.current
        val last = configuration.snapshotAt ?: now
        val due = now - last >= settings.limits.snapshotIntervalMilliseconds
        return if (current != null && due && isSnapshotWriter(current, now)) {
            copy(configuration = configuration.copy(snapshotAt = now))
                .enqueue(LogRecord.OfConfiguration(ConfigurationRecord.Snapshot(current)))
                .report(now, "snapshot_written", "revision" to current.revision)
        } else {
            copy(configuration = configuration.copy(snapshotAt = last)).unchanged()
        }
    }

    private fun RouterState.isSnapshotWriter(current: Configuration, now: Timestamp): Boolean =
        rendezvousOrNull(livePeers(now) + settings.vm, "snapshot:${current.revision}") == settings.vm
}

/**
 * Returns whether the configuration may be used for new requests: one is known, and the log was read or a peer heard
 * from within the staleness limit.
 */
internal fun RouterState.isFresh(now: Timestamp): Boolean {
    val lastContactAt = configuration.lastContactAt ?: return false
    return configuration.view.current != null && now - lastContactAt < settings.limits.stalenessMilliseconds
}
