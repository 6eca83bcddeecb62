package org.quetzalloom.daemon.client

import org.quetzalloom.core.backend.AttemptFailure

/** How an attempt ended, according to the events that it posted. */
internal sealed interface Outcome {
    /** The response was taken for complete. [chunks] are its texts, each with its position. */
    data class Answered(val status: Int, val tokens: Int, val chunks: List<Pair<Int, String>>) : Outcome

    /** The attempt failed. */
    data class Failed(val failure: AttemptFailure) : Outcome

    /** The attempt posted no end within the time that a test waits. */
    data object StillRunning : Outcome
}
