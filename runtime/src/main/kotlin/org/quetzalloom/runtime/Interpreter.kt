package org.quetzalloom.runtime

/** Carries out effects. It is called on the loop's thread, so it must not block. */
public fun interface Interpreter<in F> {
    /** Carries out [effect], or starts to and returns; a result comes back as an event. */
    public fun carryOut(effect: F)
}
