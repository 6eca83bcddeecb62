package org.quetzalloom.runtime

/** Carries out effects. Called on the loop's thread, so it must hand over whatever takes time. */
public fun interface Interpreter<in F> {
    /** Carries out [effect], or starts to. */
    public fun carryOut(effect: F)
}
