package org.quetzalloom.core.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.Rollout
import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.configuration.VersionKind
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.error.RouterError
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.bucketOf
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.selection.RatingSubject
import org.quetzalloom.core.selection.VersionOption

/** Returns whether [workspace] may use [version] for new work. */
internal fun RouterState.mayUse(workspace: WorkspaceId, version: VersionId): Boolean {
    val current = configuration.view.current
    return current?.activeVersionOrNull(version) != null &&
        current.workspaces[workspace]?.allowed?.contains(version) == true
}

/** Returns the versions that [call] may run on, or why there are none. */
internal fun Configuration.versionsFor(call: CallerRequest): Result<List<Version>, RouterError> {
    val allowed = workspaces[call.workspace]?.allowed ?: return Err(
        RouterError(ErrorKind.UNKNOWN_WORKSPACE, "workspace '${call.workspace}' does not exist"),
    )
    val named = versionsNamedBy(call.target)
    val usable = named.filter { !it.withdrawn && it.id in allowed }
    return when {
        named.isEmpty() -> Err(RouterError(ErrorKind.UNKNOWN_TARGET, "nothing serves ${call.target.describe()}"))
        usable.isEmpty() -> Err(
            RouterError(
                ErrorKind.NOT_ALLOWED,
                "workspace '${call.workspace}' may use no version of ${call.target.describe()}",
            ),
        )
        else -> Ok(usable.sortedBy { it.id })
    }
}

/** Returns the versions that [target] names, whoever may use them. */
private fun Configuration.versionsNamedBy(target: Target): List<Version> = when (target) {
    is Target.Completion -> versions.values.filter { it.kind == VersionKind.ENGINE && target.matches(it) }
    is Target.ServiceCall -> routeOrNull(target.path)?.let { route ->
        versions.values.filter { it.kind == VersionKind.SERVICE && it.model == route.model }
    }.orEmpty()
}

/** Returns whether [version] is one that the caller asked for. */
internal fun Target.matches(version: Version): Boolean = when (this) {
    is Target.Completion -> model == Target.ANY_MODEL || model == version.model || model == version.id.value
    is Target.ServiceCall -> version.kind == VersionKind.SERVICE
}

internal fun Target.describe(): String = when (this) {
    is Target.Completion -> "model '$model'"
    is Target.ServiceCall -> "path '$path'"
}

/**
 * Returns the version that [call] runs on, of [usable].
 *
 * @param subject what decides on which side of a roll-out the request falls.
 */
internal fun RouterState.chooseVersion(call: CallerRequest, usable: List<Version>, subject: String): VersionId {
    val current = configuration.view.current
    val options = usable
        .filterNot { current?.isExcludedByRollout(it, usable, call.target, subject) == true }
        .let { kept -> kept.filter { hasServerInService(it.id) }.ifEmpty { kept } }
        .map { VersionOption(it, quality.estimateOf(RatingSubject(call.workspace, call.requestClass, it.id))) }
    val qualityTarget = current?.workspaces?.get(call.workspace)?.qualityTarget ?: 0.0
    return settings.policies.versionChoice.choose(options, qualityTarget, stableHash("version", subject)).id
}

/** Returns whether a roll-out keeps this request away from [version]. */
private fun Configuration.isExcludedByRollout(
    version: Version,
    usable: List<Version>,
    target: Target,
    subject: String,
): Boolean {
    val rollout = rollouts[version.model] ?: return false
    val applies = usable.any { it.id == rollout.from } &&
        usable.any { it.id == rollout.to } &&
        (target as? Target.Completion)?.model != version.id.value
    val onNewVersion = bucketOf("rollout:${rollout.to}:$subject", Rollout.FULL_SHARE_PERMILLE) < rollout.sharePermille
    return applies && version.id == if (onNewVersion) rollout.from else rollout.to
}

/** Returns whether any backend server in service that this VM may send to serves [version]. */
private fun RouterState.hasServerInService(version: VersionId): Boolean {
    val current = configuration.view.current ?: return false
    return backends.homes.keys.any { id ->
        val server = current.backendServers[id]
        server != null && version in server.versions && current.isInService(server)
    }
}
