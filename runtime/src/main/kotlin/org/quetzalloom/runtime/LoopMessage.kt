package org.quetzalloom.runtime

/** What is put into a loop's inbox. */
internal sealed interface Posting<out E> {
    /** An event, and what to do on the loop's thread before it. */
    class OfEvent<E>(val event: E, val beforehand: (() -> Unit)? = null) : Posting<E>

    /** The loop ends. */
    data object Stop : Posting<Nothing>
}
