package org.quetzalloom.wire.site

import com.akuleshov7.ktoml.Toml
import com.akuleshov7.ktoml.exceptions.TomlDecodingException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromString

/**
 * A settings file of the router in the `daemon` module.
 *
 * @property name the path, for error messages.
 * @property text the contents, in TOML.
 */
public data class SiteFile(
    public val name: String,
    public val text: String,
) {
    /** Parses this file; returns the first problem if it is not valid TOML or has unknown keys or wrong types. */
    public fun parse(): Result<SiteDocument, SiteProblem> = try {
        Ok(Toml.decodeFromString<SiteDocument>(text))
    } catch (problem: TomlDecodingException) {
        Err(problemOf(problem.message))
    } catch (problem: SerializationException) {
        Err(problemOf(problem.message))
    } catch (problem: IllegalArgumentException) {
        Err(problemOf(problem.message))
    }

    /** Returns the 1-based number of the first line that contains [word] in double quotes, or `null` if none does. */
    public fun lineOfOrNull(word: String): Int? =
        text.lines().indexOfFirst { "\"$word\"" in it }.takeIf { it >= 0 }?.let { it + 1 }

    private fun problemOf(message: String?): SiteProblem {
        val singleLine = message.orEmpty().replace('\n', ' ').trim()
        val line = LINE.find(singleLine)?.groupValues?.get(1)?.toIntOrNull() ?: unknownKeyLineOrNull(singleLine)
        return SiteProblem(file = name, line = line, message = singleLine.replaceFirst(LINE, "").trim())
    }

    /** Returns the number of the first line that starts with the name that [message] quotes, such as an unknown key. */
    private fun unknownKeyLineOrNull(message: String): Int? {
        val key = QUOTED.find(message)?.groupValues?.get(1) ?: return null
        return text.lines().indexOfFirst { it.trim().startsWith(key) }.takeIf { it >= 0 }?.let { it + 1 }
    }

    private companion object {
        val LINE = Regex("""^Line (\d+): """)
        val QUOTED = Regex("""[<'"]([A-Za-z0-9_]+)[>'"]""")
    }
}
