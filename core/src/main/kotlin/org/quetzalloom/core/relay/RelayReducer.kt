package org.quetzalloom.core.relay

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.reducer.PartsReducer
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.access.AnswersPart
import org.quetzalloom.core.relay.access.ReadersPart
import org.quetzalloom.core.relay.access.StorePathPart
import org.quetzalloom.core.relay.access.withoutOldNews
import org.quetzalloom.core.relay.crash.CrashesPart
import org.quetzalloom.core.relay.crash.QuarantineEndsPart
import org.quetzalloom.core.relay.era.followEra
import org.quetzalloom.core.relay.era.withoutOldEra
import org.quetzalloom.core.relay.exchange.ExchangesPart
import org.quetzalloom.core.relay.feed.FeedsPart
import org.quetzalloom.core.relay.feed.FreshnessPart
import org.quetzalloom.core.relay.forecast.ForecastsPart
import org.quetzalloom.core.relay.handover.HandoversPart
import org.quetzalloom.core.relay.handover.ReachPart
import org.quetzalloom.core.relay.member.MembersPart
import org.quetzalloom.core.relay.peer.PeersPart
import org.quetzalloom.core.relay.rollout.OutcomesPart
import org.quetzalloom.core.relay.rollout.RolloutNoticesPart
import org.quetzalloom.core.relay.rollout.RolloutsPart
import org.quetzalloom.core.relay.routing.RoutingPart
import org.quetzalloom.core.relay.server.EvacuationsPart
import org.quetzalloom.core.relay.server.LeavingPart
import org.quetzalloom.core.relay.server.ServersPart
import org.quetzalloom.core.relay.session.PinsPart
import org.quetzalloom.core.relay.stop.StopPart
import org.quetzalloom.core.relay.stop.TickFailuresPart
import org.quetzalloom.core.time.Timestamp

/**
 * The reducer of a relay for all its events. A relay decides for one router on the users' platform; the modules `relay`
 * and `platform` carry out its effects. The router with its own interface, in the module `daemon`, has
 * [org.quetzalloom.core.router.RouterReducer]; they share the reducer framework, identifiers, errors and log entries.
 *
 * The era of the store is followed before any part sees an event. A result of an earlier era, and an answer of a reader
 * that would go back, are replaced by failures, see [withoutOldEra] and [withoutOldNews].
 *
 * Each part sees every event, in a fixed order, with the state that the parts before it have produced. [OutcomesPart],
 * [PinsPart], [CrashesPart], [ForecastsPart], [ReachPart] and [LeavingPart] come before [ExchangesPart], which ends or
 * changes the exchange whose attempt they look up. [ReadersPart] comes before [FeedsPart], which ends the read whose
 * reader it looks up.
 *
 * [RelayEvent.TickFailed] goes to [TickFailuresPart] alone, as any other part may be the one that fails.
 */
public object RelayReducer : Reducer<RelayState, RelayEvent, RelayEffect> {
    internal val parts: PersistentList<RelayPart> = persistentListOf(
        StorePathPart,
        ReadersPart,
        FeedsPart,
        FreshnessPart,
        AnswersPart,
        RoutingPart,
        ServersPart,
        LeavingPart,
        EvacuationsPart,
        MembersPart,
        PeersPart,
        OutcomesPart,
        RolloutsPart,
        PinsPart,
        CrashesPart,
        ForecastsPart,
        ReachPart,
        ExchangesPart,
        HandoversPart,
        QuarantineEndsPart,
        StopPart,
        RolloutNoticesPart,
        TickFailuresPart,
    )

    private val composed = PartsReducer(parts)

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): Transition<RelayState, RelayEffect> =
        if (event == RelayEvent.TickFailed) {
            TickFailuresPart.reduce(state, event, now)
        } else {
            state.followEra(event, now).then { it.reduceInEra(event, now) }
        }

    private fun RelayState.reduceInEra(event: RelayEvent, now: Timestamp): Transition<RelayState, RelayEffect> =
        composed.reduce(this, withoutOldNews(withoutOldEra(event, now), now), now)
}
