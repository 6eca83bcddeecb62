package org.quetzalloom.wire.site

import arrow.core.NonEmptyList
import arrow.core.nonEmptyListOf
import arrow.core.toNonEmptyListOrNull
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.problems
import org.quetzalloom.wire.configuration.ConfigurationDocument
import org.quetzalloom.wire.configuration.toConfiguration

/**
 * The validated settings of one deployment of the router in the `daemon` module: a base file merged with the overlay of
 * the site.
 *
 * @property document the merged settings.
 * @property configuration the part of the settings that operators publish through the log, at revision 0.
 */
public data class Site(
    public val document: SiteDocument,
    public val configuration: Configuration,
) {
    public companion object {
        /**
         * Parses, merges and validates [files], at least one, each of which overrides the ones before it.
         *
         * Returns the problems of all files that cannot be parsed or, if there are none, the problems of the merged
         * settings. Identifiers and kinds are checked first, and only the first that is not valid is reported.
         */
        public fun load(files: List<SiteFile>): Result<Site, NonEmptyList<SiteProblem>> {
            val parsed = files.map { it.parse() }
            val fileProblems = parsed.mapNotNull { it.getError() }.toNonEmptyListOrNull()
            if (fileProblems != null) return Err(fileProblems)
            val document = parsed.mapNotNull { it.get() }.reduce { base, overlay -> base.overlaidBy(overlay) }
            return check(document, files)
        }

        private fun check(document: SiteDocument, files: List<SiteFile>): Result<Site, NonEmptyList<SiteProblem>> {
            val configuration = try {
                document.toConfigurationDocument().toConfiguration()
            } catch (problem: IllegalArgumentException) {
                return Err(nonEmptyListOf(locate(problem.message.orEmpty(), files)))
            }
            val messages = document.vmProblems() + configuration.problems(document.vms.size.takeIf { it > 0 })
            val problems = messages.map { locate(it, files) }.toNonEmptyListOrNull()
            return if (problems == null) Ok(Site(document, configuration)) else Err(problems)
        }

        /**
         * Returns a problem with [message], located where the last of the names that it quotes is found: in the last
         * file that contains it, at its first line there. Names that no file contains are passed over.
         */
        private fun locate(message: String, files: List<SiteFile>): SiteProblem {
            val quoted = QUOTED.findAll(message).map { it.groupValues[1] }.toList()
            val location = quoted.reversed().firstNotNullOfOrNull { word ->
                files.reversed().firstNotNullOfOrNull { file -> file.lineOfOrNull(word)?.let { file.name to it } }
            }
            return SiteProblem(file = location?.first ?: files.last().name, line = location?.second, message = message)
        }

        private val QUOTED = Regex("'([^']+)'")
    }
}

private fun SiteDocument.toConfigurationDocument(): ConfigurationDocument = ConfigurationDocument(
    zones = zones,
    versions = versions,
    workspaces = workspaces,
    backendServers = backendServers,
    services = services,
    rollouts = rollouts,
)

private fun SiteDocument.vmProblems(): List<String> {
    val zoneIds = zones.map { it.id }.toSet()
    val duplicates = vms.groupBy { it.id }.filterValues { it.size > 1 }.keys.map { "VM '$it' is listed twice" }
    val inUnknownZone = vms.filter { it.zone !in zoneIds }
        .map { "VM '${it.id}' is in availability zone '${it.zone}', which does not exist" }
    return duplicates + inUnknownZone
}
