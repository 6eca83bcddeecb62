package org.quetzalloom.core.configuration

import kotlinx.collections.immutable.PersistentSet

/**
 * A route from a path prefix to a plain service.
 *
 * @property pathPrefix the prefix of the paths that are routed, such as `/ovens/`.
 * @property model the name of the service; the `model` of each of its versions.
 * @property nonRepeatableMethods the HTTP methods, in upper case, whose calls run at most once and require an
 *   idempotency key.
 */
public data class ServiceRoute(
    public val pathPrefix: String,
    public val model: String,
    public val nonRepeatableMethods: PersistentSet<String>,
)
