package org.quetzalloom.core.identity

private const val MAXIMUM_IDENTIFIER_LENGTH = 128

private fun Char.isIdentifierCharacter(): Boolean =
    this in 'a'..'z' || this in 'A'..'Z' || this in '0'..'9' || this in "._-:@/+="

/** Returns whether [value] is a valid identifier: 1 to 128 ASCII letters, digits and `. _ - : @ / + =`. */
public fun isIdentifier(value: String): Boolean =
    value.length in 1..MAXIMUM_IDENTIFIER_LENGTH && value.all { it.isIdentifierCharacter() }

/**
 * Checks that [value] is a valid identifier.
 *
 * @param kind what [value] identifies, for the message.
 * @throws IllegalArgumentException if it is not.
 */
internal fun requireIdentifier(kind: String, value: String) {
    require(isIdentifier(value)) {
        "the identifier '${value.take(MAXIMUM_IDENTIFIER_LENGTH)}' ($kind) must consist of " +
            "1 to $MAXIMUM_IDENTIFIER_LENGTH ASCII letters, digits and . _ - : @ / + ="
    }
}
