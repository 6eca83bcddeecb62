package org.quetzalloom.core.router

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.backend.BackendsPart
import org.quetzalloom.core.billing.BillingPart
import org.quetzalloom.core.configuration.ConfigurationPart
import org.quetzalloom.core.drain.DrainPart
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.ledger.LedgerPart
import org.quetzalloom.core.log.LogPart
import org.quetzalloom.core.membership.MembershipPart
import org.quetzalloom.core.quarantine.QuarantinePart
import org.quetzalloom.core.reducer.PartsReducer
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.request.RequestsPart
import org.quetzalloom.core.rollout.RolloutPart
import org.quetzalloom.core.selection.QualityPart
import org.quetzalloom.core.session.SessionsPart
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.core.timeline.StampPart

/**
 * The reducer of the router in the `daemon` module, over all its events.
 *
 * Two routers share this source tree. This one has an interface of its own: callers and operators use the API of
 * `daemon`, configuration, commands and bills are records of the platform's log, and sessions and quarantine are shared
 * between VMs by messages. The packages of `core` outside `core.relay` belong to it.
 *
 * The other one, in `core.relay` with the modules `relay` and `platform`, is the router on the users' platform. Its
 * reducer is [org.quetzalloom.core.relay.RelayReducer]. Of the other packages of `core` it uses only identifiers, time,
 * errors, the time line, the reducer's types and the hashes.
 *
 * Each part is given every event, in a fixed order, and starts from the state that the parts before it returned.
 * [LogPart] comes last: it appends what the other parts have queued, and removes the records of a completed append,
 * which [BillingPart] reads before.
 */
public object RouterReducer : Reducer<RouterState, Event, Effect> {
    internal val parts: PersistentList<Part> = persistentListOf(
        StampPart,
        MembershipPart,
        ConfigurationPart,
        BackendsPart,
        QualityPart,
        LedgerPart,
        QuarantinePart,
        SessionsPart,
        RequestsPart,
        RolloutPart,
        BillingPart,
        DrainPart,
        LogPart,
    )

    private val composed = PartsReducer(parts)

    override fun reduce(state: RouterState, event: Event, now: Timestamp): Transition<RouterState, Effect> =
        composed.reduce(state, event, now)
}
