package org.quetzalloom.wire.site

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.quetzalloom.core.identity.VmId
import java.io.File
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Tests how settings files are merged, and that an error in them is reported with its place. */
class SiteTest {
    private val base = """
        [fleet]
        session_secret = "secret"

        [[zones]]
        id = "zone-a"

        [[versions]]
        id = "m@1"
        model = "m"
        kind = "engine"
        cost_micros = 10

        [[workspaces]]
        id = "w"
        allowed = ["m@1"]
    """.trimIndent()
    private val overlay = """
        [platform]
        log = "127.0.0.1:1"
        vms = "127.0.0.1:2"
        ratings = "127.0.0.1:3"

        [limits]
        staleness_milliseconds = 7000

        [[vms]]
        id = "vm-1"
        zone = "zone-a"
        address = "127.0.0.1:4"

        [[backend_servers]]
        id = "e"
        zone = "zone-a"
        address = "127.0.0.1:5"
        versions = ["m@1"]
        capacity = 4
        cold_capacity = 2
        warm_up_milliseconds = 100
    """.trimIndent()

    private fun problemsOf(baseText: String = base, overlayText: String = overlay): String =
        Site.load(listOf(SiteFile("base.toml", baseText), SiteFile("site.toml", overlayText))).getError()
            .orEmpty().joinToString("\n")

    @Test
    fun theOverlayOverridesTheBase() {
        val site = assertNotNull(Site.load(listOf(SiteFile("base.toml", base), SiteFile("site.toml", overlay))).get())
        val settings = site.routerSettings(VmId("vm-1"), incarnation = "i")
        assertEquals(7_000, settings.limits.stalenessMilliseconds)
        assertEquals("secret", settings.sessionSecret)
        assertEquals(1, site.configuration.backendServers.size)
    }

    @Test
    fun anUnknownKeyIsAnErrorWithFileAndLine() {
        val message = problemsOf(overlayText = overlay.replace("staleness_milliseconds", "staleness"))
        assertContains(message, "site.toml:7:")
        assertContains(message, "staleness")
    }

    @Test
    fun aWrongTypeIsAnErrorWithFileAndLine() {
        val message = problemsOf(overlayText = overlay.replace("capacity = 4", "capacity = \"four\""))
        assertContains(message, "site.toml:")
    }

    @Test
    fun aVersionThatDoesNotExistIsAnErrorWithFileAndLine() {
        val message = problemsOf(baseText = base.replace("allowed = [\"m@1\"]", "allowed = [\"m@2\"]"))
        assertContains(message, "base.toml:15: workspace 'w' allows version 'm@2', which does not exist")
    }

    @Test
    fun aVersionWithoutABackendServerIsAnError() {
        val message = problemsOf(overlayText = overlay.substringBefore("[[backend_servers]]"))
        assertContains(message, "workspace 'w' allows version 'm@1', which no backend server serves")
    }

    @Test
    fun aColdCapacityBelowTheFleetIsAnError() {
        val second = "\n\n[[vms]]\nid = \"vm-2\"\nzone = \"zone-a\"\naddress = \"127.0.0.1:6\""
        val message = problemsOf(overlayText = overlay.replace("cold_capacity = 2", "cold_capacity = 1") + second)
        assertContains(message, "below the 2 entry VMs")
    }

    @Test
    fun theExampleSettingsAreValid() {
        val root = generateSequence(File("").absoluteFile) { it.parentFile }.first { File(it, "examples").isDirectory }
        listOf("injera-hearth/addis", "magnolia-pointe/delta", "demo/local").forEach { name ->
            val files =
                listOf(File(root, "examples/${name.substringBefore('/')}/base.toml"), File(root, "examples/$name.toml"))
            val site = Site.load(files.map { SiteFile(it.name, it.readText()) })
            assertEquals(null, site.getError(), name)
        }
    }
}
