package org.quetzalloom.runtime

/** What is put into a loop's inbox. */
internal sealed interface LoopMessage<out E> {
    /** An event, and what to do on the loop's thread before it. */
    class OfEvent<E>(val event: E, val beforeReduce: (() -> Unit)? = null) : LoopMessage<E>

    /** The loop ends. */
    data object Stop : LoopMessage<Nothing>
}
