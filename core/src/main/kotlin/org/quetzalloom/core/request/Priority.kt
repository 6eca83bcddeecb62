package org.quetzalloom.core.request

/** The order in which requests are admitted and dispatched under load, from the most to the least urgent. */
public enum class Priority {
    /** Interactive: a user is waiting for the answer. */
    HIGH,

    /** The default. */
    NORMAL,

    /** Background work that may be delayed. */
    LOW,
    ;

    public companion object {
        /** Returns the priority whose name is [text], ignoring case, or `null` if there is none. */
        public fun parseOrNull(
            text: String
        ): Priority? = entries.firstOrNull { it.name.equals(text, ignoreCase = true) }
    }
}
