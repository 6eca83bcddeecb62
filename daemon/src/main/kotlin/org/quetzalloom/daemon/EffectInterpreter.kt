package org.quetzalloom.daemon

import org.quetzalloom.core.effect.Effect
import org.quetzalloom.daemon.backend.BackendClient
import org.quetzalloom.daemon.caller.PendingAnswers
import org.quetzalloom.daemon.peer.PeerClient
import org.quetzalloom.daemon.platform.PlatformClient
import org.quetzalloom.daemon.report.Reporter
import org.quetzalloom.runtime.Interpreter

/**
 * Passes each effect of [Daemon]'s loop to the component that carries it out.
 *
 * @param stop ends the process; called when a graceful shutdown is complete.
 */
internal class EffectInterpreter(
    private val pendingAnswers: PendingAnswers,
    private val backends: BackendClient,
    private val platform: PlatformClient,
    private val peers: PeerClient,
    private val reporter: Reporter,
    private val stop: () -> Unit,
) : Interpreter<Effect> {
    override fun carryOut(effect: Effect) {
        when (effect) {
            is Effect.OfCaller -> pendingAnswers.deliver(effect)
            is Effect.OfBackend -> backends.carryOut(effect)
            is Effect.OfPlatform -> platform.carryOut(effect)
            is Effect.SendToPeer -> peers.carryOut(effect)
            is Effect.Report -> reporter.report(effect.entry)
            is Effect.Stop -> stop()
        }
    }
}
