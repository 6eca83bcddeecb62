package org.quetzalloom.core.rollout

import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.ConfigurationRecord
import org.quetzalloom.core.configuration.Rollout
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.enqueue
import org.quetzalloom.core.router.rendezvousOrNull
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.selection.QualityEstimate
import org.quetzalloom.core.selection.QualityState
import org.quetzalloom.core.time.Timestamp

/**
 * Evaluates roll-outs and proposes their next steps.
 *
 * Rendezvous hashing over the live VMs elects one leader for each model. While VMs disagree on who is live, two may
 * act as leader: the first proposal in the log then takes effect. As the state of roll-outs is in the log, another VM
 * can take over.
 */
internal object RolloutPart : Part {
    private const val EVALUATION_INTERVAL_MILLISECONDS = 1_000L

    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step =
        if (event is Event.Tick) state.evaluateAll(now) else state.unchanged()

    private fun RouterState.evaluateAll(now: Timestamp): Step {
        val current = configuration.view.current
        val last = rollout.evaluatedAt
        val due = last == null || now - last >= EVALUATION_INTERVAL_MILLISECONDS
        if (!due || current == null || current.rollouts.isEmpty()) return unchanged()
        val evaluated = copy(rollout = rollout.copy(evaluatedAt = now))
        return current.rollouts.keys.sorted().fold(evaluated.unchanged()) { transition, model ->
            transition.then { it.decide(current, model, now) }
        }
    }

    private fun RouterState.decide(current: Configuration, model: String, now: Timestamp): Step {
        val plan = current.rollouts[model] ?: return unchanged()
        val leader = rendezvousOrNull(livePeers(now) + settings.vm, "rollout:$model")
        val decides = leader == settings.vm && !plan.paused && rollout.lastProposedRevision != current.revision
        val evidence = if (decides) evidenceOrNull(current, plan) else null
        return when (val decision = evidence?.let { settings.policies.rollout.decide(plan, it) }) {
            is RolloutDecision.Share ->
                propose(current, ConfigurationChange.SetRollout(plan.copy(sharePermille = decision.sharePermille)), now)
            is RolloutDecision.Abort -> propose(current, ConfigurationChange.EndRollout(model), now)
            else -> unchanged()
        }
    }

    private fun RouterState.evidenceOrNull(current: Configuration, plan: Rollout): RolloutEvidence? {
        val from = current.versions[plan.from]
        val to = current.versions[plan.to]
        if (from == null || to == null) return null
        return RolloutEvidence(from, to, quality.totalOf(plan.from), quality.totalOf(plan.to))
    }

    private fun RouterState.propose(current: Configuration, change: ConfigurationChange, now: Timestamp): Step {
        val record = ConfigurationRecord.Proposed(base = current.revision, author = settings.vm.value, change = change)
        return copy(rollout = rollout.copy(lastProposedRevision = current.revision))
            .enqueue(LogRecord.OfConfiguration(record))
            .report(now, "rollout_step_proposed", "base" to current.revision, "change" to change)
    }

    private fun QualityState.totalOf(version: VersionId): QualityEstimate =
        sums.keys.filter { it.version == version }.fold(QualityEstimate()) { sum, subject -> sum + estimateOf(subject) }
}
