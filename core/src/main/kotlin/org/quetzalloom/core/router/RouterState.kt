package org.quetzalloom.core.router

import org.quetzalloom.core.backend.BackendsState
import org.quetzalloom.core.billing.BillingState
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.ConfigurationState
import org.quetzalloom.core.drain.DrainState
import org.quetzalloom.core.ledger.LedgerState
import org.quetzalloom.core.log.LogState
import org.quetzalloom.core.membership.MembershipState
import org.quetzalloom.core.quarantine.QuarantineState
import org.quetzalloom.core.request.RequestsState
import org.quetzalloom.core.rollout.RolloutState
import org.quetzalloom.core.selection.QualityState
import org.quetzalloom.core.session.SessionsState

/**
 * The state of one router: its settings, its causal stamp and one slice for each part of the reducer. Immutable.
 *
 * @property settings the settings that the router was started with.
 */
@ConsistentCopyVisibility
public data class RouterState internal constructor(
    public val settings: RouterSettings,
    internal val stamp: Long = 0,
    internal val configuration: ConfigurationState = ConfigurationState(),
    internal val membership: MembershipState = MembershipState(),
    internal val backends: BackendsState = BackendsState(),
    internal val quality: QualityState = QualityState(),
    internal val ledger: LedgerState = LedgerState(),
    internal val quarantine: QuarantineState = QuarantineState(),
    internal val sessions: SessionsState = SessionsState(),
    internal val requests: RequestsState = RequestsState(),
    internal val rollout: RolloutState = RolloutState(),
    internal val billing: BillingState = BillingState(),
    internal val drain: DrainState = DrainState(),
    internal val log: LogState = LogState(),
) {
    /** The configuration in force at this VM, or `null` until one is known. */
    public val configurationOrNull: Configuration? get() = configuration.view.current

    public companion object {
        /** Returns the state of a router that has just started with [settings]. */
        public fun initial(settings: RouterSettings): RouterState = RouterState(settings)
    }
}
