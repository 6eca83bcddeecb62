package org.quetzalloom.daemon

import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.runtime.EventLoop

/** The event loop of the router that [Daemon] runs. */
internal typealias RouterLoop = EventLoop<RouterState, Event, Effect>
