package org.quetzalloom.core.configuration

import kotlinx.collections.immutable.PersistentSet

/**
 * Routes calls by path to a plain service.
 *
 * @property pathPrefix the start of the paths that are routed, such as `/ovens/`.
 * @property model the service that answers.
 * @property nonRepeatableMethods the HTTP methods, in upper case, whose calls run at most once and need a key.
 */
public data class ServiceRoute(
    public val pathPrefix: String,
    public val model: String,
    public val nonRepeatableMethods: PersistentSet<String>,
)
