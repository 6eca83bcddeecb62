package org.quetzalloom.runtime

/** An item of a loop's inbox. */
internal sealed interface LoopMessage<out E> {
    /** An event, with a callback to run on the loop's thread before it is reduced. */
    class OfEvent<E>(val event: E, val beforeReduce: (() -> Unit)? = null) : LoopMessage<E>

    /** Ends the loop. */
    data object Stop : LoopMessage<Nothing>
}
