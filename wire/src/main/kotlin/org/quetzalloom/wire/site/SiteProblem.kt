package org.quetzalloom.wire.site

/**
 * Something that is wrong with a settings file.
 *
 * @property line the line, from 1, or `null` where it is not known.
 */
public data class SiteProblem(
    public val file: String,
    public val line: Int?,
    public val message: String,
) {
    override fun toString(): String = if (line == null) "$file: $message" else "$file:$line: $message"
}
