package org.quetzalloom.core.relay.handover

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * A request that another router is to answer, as this one reaches no backend server of its service.
 *
 * @property number the number of the attempt within its exchange, from 1.
 * @property router the router that the request was sent to.
 */
internal data class Handover(val number: Int, val router: VmId, val sentAt: Timestamp)
