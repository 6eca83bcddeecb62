package org.quetzalloom.daemon

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.router.RouterSettings
import org.quetzalloom.daemon.platform.PlatformAddresses
import org.quetzalloom.wire.site.Site
import org.quetzalloom.wire.site.routerSettings

/**
 * Settings of one router process, which do not change while it runs.
 *
 * @property router the settings of the core.
 * @property addresses host and port of the router on each entry VM, this one included.
 * @property platform host and port of the platform services.
 * @property largestBodyBytes the maximum size of the body of a caller's request; longer ones are refused.
 * @property defaultTimeoutMilliseconds the timeout of requests whose caller sets none.
 */
internal data class DaemonSettings(
    val router: RouterSettings,
    val addresses: PersistentMap<VmId, String>,
    val platform: PlatformAddresses,
    val largestBodyBytes: Long = 1_048_576,
    val defaultTimeoutMilliseconds: Long = 60_000,
) {
    /** Host and port that this process listens on. */
    val ownAddress: String get() = addresses.getValue(router.vm)

    companion object {
        /**
         * Returns the settings of the process on [vm] in [site], or a message for operators if [site] has no such VM
         * or lacks a required setting.
         *
         * @param incarnation an identifier that is different after each start of the process.
         */
        fun of(site: Site, vm: String, incarnation: String): Result<DaemonSettings, String> = try {
            Ok(build(site, VmId(vm), incarnation))
        } catch (problem: IllegalArgumentException) {
            Err(problem.message.orEmpty())
        }

        private fun build(site: Site, vm: VmId, incarnation: String): DaemonSettings {
            val platform = requireNotNull(site.document.platform) { "the table [platform] is missing" }
            val defaults = DaemonSettings(
                router = site.routerSettings(vm, incarnation),
                addresses = site.document.vms.associate { VmId(it.id) to it.address }.toPersistentMap(),
                platform = PlatformAddresses(
                    log = requireNotNull(platform.log) { "the key platform.log is missing" },
                    vms = requireNotNull(platform.vms) { "the key platform.vms is missing" },
                    ratings = requireNotNull(platform.ratings) { "the key platform.ratings is missing" },
                ),
            )
            val fleet = site.document.fleet
            return defaults.copy(
                largestBodyBytes = fleet?.largestBodyBytes ?: defaults.largestBodyBytes,
                defaultTimeoutMilliseconds = fleet?.defaultTimeoutMilliseconds ?: defaults.defaultTimeoutMilliseconds,
            )
        }
    }
}
