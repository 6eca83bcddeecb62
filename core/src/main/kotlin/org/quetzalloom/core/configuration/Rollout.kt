package org.quetzalloom.core.configuration

import org.quetzalloom.core.identity.VersionId

/**
 * A gradual replacement of one version by another of the same model.
 *
 * @property from the old version.
 * @property to the new version.
 * @property sharePermille the requests per thousand, of those that may run on both versions and name neither, that go
 *   to [to] instead of [from].
 * @property paused whether the share is kept until an operator resumes the roll-out.
 */
public data class Rollout(
    public val from: VersionId,
    public val to: VersionId,
    public val sharePermille: Int,
    public val paused: Boolean = false,
) {
    public companion object {
        /** The share at which every request goes to the new version. */
        public const val FULL_SHARE_PERMILLE: Int = 1_000
    }
}
