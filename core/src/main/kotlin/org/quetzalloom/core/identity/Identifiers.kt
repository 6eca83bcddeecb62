package org.quetzalloom.core.identity

private const val LONGEST_IDENTIFIER_CHARACTERS = 128

private fun Char.isIdentifierCharacter(): Boolean =
    this in 'a'..'z' || this in 'A'..'Z' || this in '0'..'9' || this in "._-:@/+="

/** Returns whether [value] can stand as an identifier. */
public fun isIdentifier(value: String): Boolean =
    value.length in 1..LONGEST_IDENTIFIER_CHARACTERS && value.all { it.isIdentifierCharacter() }

internal fun requireIdentifier(kind: String, value: String) {
    require(isIdentifier(value)) {
        "$kind '${value.take(LONGEST_IDENTIFIER_CHARACTERS)}' must have 1 to $LONGEST_IDENTIFIER_CHARACTERS " +
            "characters of letters, digits and . _ - : @ / + ="
    }
}
