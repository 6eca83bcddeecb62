package org.quetzalloom.wire.site

/**
 * An error in a settings file.
 *
 * @property file the path of the file.
 * @property line the 1-based number of the line, or `null` if it is not known.
 * @property message a description for operators.
 */
public data class SiteProblem(
    public val file: String,
    public val line: Int?,
    public val message: String,
) {
    override fun toString(): String = if (line == null) "$file: $message" else "$file:$line: $message"
}
