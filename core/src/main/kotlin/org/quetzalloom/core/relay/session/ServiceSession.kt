package org.quetzalloom.core.relay.session

import org.quetzalloom.core.relay.routing.ServiceName

/** A session at one service. The versions of different services have nothing to do with each other. */
internal data class ServiceSession(val service: ServiceName, val session: String)
