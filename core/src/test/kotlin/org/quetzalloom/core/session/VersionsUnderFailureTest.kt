package org.quetzalloom.core.session

import kotlinx.collections.immutable.PersistentList
import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.Rollout
import org.quetzalloom.core.identity.SessionId
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.rig.FakeCaller
import org.quetzalloom.core.rig.Fault
import org.quetzalloom.core.rig.Fleet
import org.quetzalloom.core.rig.Rig
import org.quetzalloom.core.rig.assertNoFindings
import org.quetzalloom.core.rig.injectWithin
import org.quetzalloom.core.rig.seeds
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterReducer
import org.quetzalloom.core.router.unchanged
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Requests must run only on versions that their workspace may use, and a session must stay on its version, while a
 * roll-out proceeds and VMs, the log and connections fail.
 */
class VersionsUnderFailureTest {
    @Test
    fun onlyAllowedVersionsRunAndSessionsKeepTheirs() = seeds(SEEDS).forEach { seed ->
        val rig = load(seed, RouterReducer.parts)
        assertNoFindings(seed, rig, forbiddenRuns(rig) + movedSessions(rig))
    }

    @Test
    fun withoutSessionMemoryARolloutMovesSessions() {
        val parts = RouterReducer.parts.add(0, clearingSessions)
        val found = seeds(SEEDS).sumOf { movedSessions(load(it, parts, tokens = false)).size }
        assertTrue(found > 0, "without assignments some session must change its version")
    }

    @Test
    fun aWithdrawnVersionReceivesNoNewWork() = seeds(SEEDS).forEach { seed ->
        val rig = Fleet.rig(seed)
        send(rig, tokens = true)
        rig.injectWithin(milliseconds = 4_000, count = 4, faults = faults)
        rig.runFor(2_000)
        val revision = rig.up.maxOf { rig.state(it).configurationOrNull?.revision ?: 0 }
        rig.log.down = false
        rig.change(revision, ConfigurationChange.Withdraw(Fleet.old))
        val bound = rig.schedule.now + Fleet.limits.stalenessMilliseconds + LOG_READ_MILLISECONDS
        rig.runFor(SETTLE_MILLISECONDS)
        val late = runs(rig).filter { (at, version) -> version == Fleet.old && at > bound }
        assertNoFindings(seed, rig, late.map { "withdrawn version ran at ${it.first}" })
        assertTrue(rig.callers.any { it.version == Fleet.new.value }, "sessions must move to the other version")
    }

    @Test
    fun aTokenOfAnotherFleetIsRefused() {
        val rig = Fleet.rig(seed = 1)
        val foreign = SessionToken(Fleet.workspace, SessionId("s"), Fleet.forbidden)
        val caller = rig.send(
            Fleet.vms[0],
            Fleet.completion("b", session = "s", token = foreign.format("other secret"))
        )
        rig.runFor(1_000)
        assertEquals("bad_session_token", caller.refusal?.code)
    }

    @Test
    fun aTokenForAVersionNoLongerAllowedMovesTheSession() {
        val rig = Fleet.rig(seed = 1)
        val token = SessionToken(Fleet.workspace, SessionId("s"), Fleet.forbidden)
        val caller = rig.send(Fleet.vms[0], Fleet.completion("b", session = "s", token = token.format("secret")))
        rig.runFor(2_000)
        assertTrue(caller.correct)
        assertTrue(caller.version != Fleet.forbidden.value)
    }

    private fun load(seed: Long, parts: PersistentList<Part>, tokens: Boolean = true): Rig {
        val rig = Fleet.rig(seed, parts)
        send(rig, tokens)
        listOf(50, 200, 500, 800, 1_000).forEachIndexed { step, share ->
            rig.schedule.after(300 + step * 700L) { rollOut(rig, share) }
        }
        rig.injectWithin(milliseconds = 4_000, count = 3, faults = faults)
        rig.runFor(SETTLE_MILLISECONDS)
        return rig
    }

    private fun rollOut(rig: Rig, share: Int) {
        val base = rig.up.maxOfOrNull { rig.state(it).configurationOrNull?.revision ?: 0 } ?: 0
        rig.change(base, ConfigurationChange.SetRollout(Rollout(Fleet.old, Fleet.new, share, paused = true)))
    }

    /** Sends requests of several sessions, one after another in each; with [tokens], each carries the latest token. */
    private fun send(
        rig: Rig,
        tokens: Boolean
    ) = repeat(SESSIONS) { number -> sendNext(rig, "s$number", tokens, left = 12, last = null) }

    private fun sendNext(rig: Rig, session: String, tokens: Boolean, left: Int, last: FakeCaller?) {
        if (left == 0) return
        val vm = rig.up.randomOrNull(rig.random)
        val token = last?.sessionToken
        val caller = vm?.let {
            rig.send(it, Fleet.completion("$session $left", session = session, token = token.takeIf { tokens }))
        }
        rig.schedule.after(rig.random.nextLong(200, 500)) {
            val newest = caller?.takeIf { it.sessionToken != null } ?: last
            sendNext(rig, session, tokens, left - 1, newest)
        }
    }

    private fun runs(rig: Rig): List<Pair<Long, VersionId>> =
        rig.servers.values.flatMap { it.runs }.map { it.at to it.order.version }

    private fun forbiddenRuns(rig: Rig): List<String> =
        runs(rig).filter { it.second == Fleet.forbidden }.map { "forbidden version ran at ${it.first}" }

    /** Returns the sessions whose answers came from more than one version. */
    private fun movedSessions(rig: Rig): List<String> = rig.callers.filter { it.answered }
        .groupBy { it.call.session }
        .mapNotNull { (session, answers) ->
            val versions = answers.mapNotNull { it.version }.toSet()
            if (versions.size > 1) "session $session had $versions" else null
        }

    private companion object {
        const val SEEDS = 60
        const val SESSIONS = 8
        const val LOG_READ_MILLISECONDS = 1_000L
        const val SETTLE_MILLISECONDS = 20_000L
        val faults = listOf(Fault.KILL_VM, Fault.LOG_DOWN, Fault.CUT_FROM_LOG, Fault.BREAK_CONNECTIONS)

        /** Clears all session assignments before every event. */
        val clearingSessions = Part { state, _, _ -> state.copy(sessions = SessionsState()).unchanged() }
    }
}
