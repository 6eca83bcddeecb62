package org.quetzalloom.core.request

/** How soon a request should be served when not all can be. Declared from the most to the least urgent. */
public enum class Priority {
    /** Someone waits for it at this moment. */
    HIGH,

    /** The usual case. */
    NORMAL,

    /** May wait. */
    LOW,
    ;

    public companion object {
        /** Returns the priority named [text] in any case, or `null`. */
        public fun parseOrNull(
            text: String
        ): Priority? = entries.firstOrNull { it.name.equals(text, ignoreCase = true) }
    }
}
