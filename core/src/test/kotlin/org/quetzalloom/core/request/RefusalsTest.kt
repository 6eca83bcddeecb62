package org.quetzalloom.core.request

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.rig.Fleet
import org.quetzalloom.core.rig.Rig
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Requests that are invalid or not permitted are refused with their own error before any backend server is called. */
class RefusalsTest {
    private val rig: Rig = Fleet.rig(seed = 1)

    @Test
    fun unknownWorkspace() =
        requireRefused(Fleet.completion("b").copy(workspace = WorkspaceId("nobody")), ErrorKind.UNKNOWN_WORKSPACE)

    @Test
    fun unknownModel() = requireRefused(Fleet.completion("b", model = "baker"), ErrorKind.UNKNOWN_TARGET)

    @Test
    fun unknownPath() = requireRefused(
        Fleet.command("k").copy(target = Target.ServiceCall("POST", "/fridges/open")),
        ErrorKind.UNKNOWN_TARGET,
    )

    @Test
    fun versionNotAllowed() =
        requireRefused(Fleet.completion("b", model = Fleet.forbidden.value), ErrorKind.NOT_ALLOWED)

    @Test
    fun commandWithoutAKey() = requireRefused(Fleet.command("k").copy(key = null), ErrorKind.KEY_MISSING)

    @Test
    fun keyUsedWithAnotherBody() {
        rig.send(Fleet.vms[0], Fleet.command("k"))
        rig.runFor(1_000)
        val other = rig.send(Fleet.vms[1], Fleet.command("k").copy(body = "something else"))
        rig.runFor(1_000)
        assertEquals(ErrorKind.KEY_REUSED, other.refusal)
        assertEquals(1, rig.commandRuns().values.single().size)
    }

    private fun requireRefused(call: CallerRequest, kind: ErrorKind) {
        val caller = rig.send(Fleet.vms[0], call)
        rig.runFor(1_000)
        assertEquals(kind, caller.refusal)
        assertTrue(rig.servers.values.all { it.runs.isEmpty() }, "no backend server may be called")
    }
}
