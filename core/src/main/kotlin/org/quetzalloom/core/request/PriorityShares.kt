package org.quetzalloom.core.request

/** Reserves a share of the active requests for more urgent ones: each priority may fill only part of the limit. */
public data object PriorityShares : AdmissionPolicy {
    private const val NORMAL_SHARE = 0.9
    private const val LOW_SHARE = 0.7

    override fun admits(priority: Priority, active: Int, limit: Int): Boolean = active < limit * share(priority)

    private fun share(priority: Priority): Double = when (priority) {
        Priority.HIGH -> 1.0
        Priority.NORMAL -> NORMAL_SHARE
        Priority.LOW -> LOW_SHARE
    }
}
