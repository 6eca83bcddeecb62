package org.quetzalloom.core.relay.member

import org.quetzalloom.core.collection.without
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/** How long a call for the members waits for a list; a router that reads for others hears of changes in less time. */
private const val MEMBERS_CALL_WAIT_MILLISECONDS = 1_800L

/**
 * A call of another router that waits for the members of the group.
 *
 * @property call the number of the call.
 * @property generation the generation of the group of which the caller knows.
 * @property until when the call is answered at the latest.
 */
internal data class MembersCall(val call: Long, val generation: Long, val until: Timestamp)

/** Returns the transition that takes a call for the members, and answers it if they are known. */
internal fun RelayState.membersAsked(event: RelayEvent.MembersAsked, now: Timestamp): RelayStep {
    val call = MembersCall(event.call, event.generation, until = now + MEMBERS_CALL_WAIT_MILLISECONDS)
    return copy(members = members.copy(waiting = members.waiting.add(call))).unchanged()
        .then { it.answerMembersCalls(now) }
}

/** Returns the transition that answers the calls for members whose list is known, and those that have waited enough. */
internal fun RelayState.answerMembersCalls(now: Timestamp): RelayStep {
    val due = members.waiting.filter { isDue(it, now) }
    if (due.isEmpty()) return unchanged()
    return copy(members = members.copy(waiting = members.waiting.without { isDue(it, now) })).unchanged()
        .thenEach(due) { current, call ->
            val addresses = current.members.addresses.takeIf { current.isListed(call) }
            current.with(RelayEffect.AnswerMembers(call.call, addresses))
        }
}

private fun RelayState.isDue(call: MembersCall, now: Timestamp): Boolean = now >= call.until || isListed(call)

private fun RelayState.isListed(call: MembersCall): Boolean =
    members.listedGeneration >= call.generation && members.addresses.isNotEmpty()
