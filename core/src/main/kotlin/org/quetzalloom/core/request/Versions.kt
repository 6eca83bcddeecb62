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

/** Returns whether [version] is active and [workspace] is allowed to use it, by the configuration in force. */
internal fun RouterState.mayUse(workspace: WorkspaceId, version: VersionId): Boolean {
    val current = configuration.view.current
    return current?.activeVersionOrNull(version) != null &&
        current.workspaces[workspace]?.allowed?.contains(version) == true
}

/** Returns the versions that [call] may run on, ordered by id and not empty, or the error if there are none. */
internal fun Configuration.versionsFor(call: CallerRequest): Result<List<Version>, RouterError> {
    val allowed = workspaces[call.workspace]?.allowed ?: return Err(
        RouterError(ErrorKind.UNKNOWN_WORKSPACE, "workspace '${call.workspace}' does not exist"),
    )
    val named = versionsNamedBy(call.target)
    val usable = named.filter { !it.withdrawn && it.id in allowed }
    return when {
        named.isEmpty() -> Err(RouterError(ErrorKind.UNKNOWN_TARGET, "no version serves ${call.target.describe()}"))
        usable.isEmpty() -> Err(
            RouterError(
                ErrorKind.NOT_ALLOWED,
                "workspace '${call.workspace}' is not allowed to use any version of ${call.target.describe()}",
            ),
        )
        else -> Ok(usable.sortedBy { it.id })
    }
}

/** Returns the versions that [target] selects, before the permissions of any workspace are applied. */
private fun Configuration.versionsNamedBy(target: Target): List<Version> = when (target) {
    is Target.Completion -> versions.values.filter { it.kind == VersionKind.ENGINE && target.matches(it) }
    is Target.ServiceCall -> routeOrNull(target.path)?.let { route ->
        versions.values.filter { it.kind == VersionKind.SERVICE && it.model == route.model }
    }.orEmpty()
}

/** Returns whether this target selects [version]: by its model, by its id, or as any model. */
internal fun Target.matches(version: Version): Boolean = when (this) {
    is Target.Completion -> model == Target.ANY_MODEL || model == version.model || model == version.id.value
    is Target.ServiceCall -> version.kind == VersionKind.SERVICE
}

/** Returns a description for error messages, such as `model 'menu-large@3'`. */
internal fun Target.describe(): String = when (this) {
    is Target.Completion -> "model '$model'"
    is Target.ServiceCall -> "path '$path'"
}

/**
 * Returns the version of [usable] that [call] runs on, chosen by cost and estimated quality.
 *
 * Versions that a roll-out excludes for this request are left out, and so are those without a backend server, unless no
 * version has one.
 *
 * @param subject the hash key that places the request on the old or the new side of a roll-out: the session, so that
 *   all its requests fall on one side, or the request id.
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

/**
 * Returns whether a roll-out sends this request to the other one of its two versions.
 *
 * This applies only if both versions are usable and the caller did not ask for [version] by its id.
 */
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

/** Returns whether this VM may send to at least one backend server in service that serves [version]. */
private fun RouterState.hasServerInService(version: VersionId): Boolean {
    val current = configuration.view.current ?: return false
    return backends.subset.keys.any { id ->
        val server = current.backendServers[id]
        server != null && version in server.versions && current.isInService(server)
    }
}
