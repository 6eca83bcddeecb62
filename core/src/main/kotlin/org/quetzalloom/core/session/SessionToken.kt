package org.quetzalloom.core.session

import org.quetzalloom.core.identity.SessionId
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.identity.isIdentifier
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * A token that the caller sends with each request of a session, and that tells any VM of the fleet the version of the
 * session. Its text form is signed, so that a caller cannot forge it.
 *
 * @property version the version that the session is assigned to.
 */
public data class SessionToken(
    public val workspace: WorkspaceId,
    public val session: SessionId,
    public val version: VersionId,
) {
    /**
     * Returns the text form: the content and its HMAC-SHA256 under [secret], each in base64url without padding,
     * separated by a dot.
     *
     * @throws IllegalArgumentException if [secret] is empty.
     */
    public fun format(secret: String): String {
        val content = listOf(workspace.value, session.value, version.value).joinToString(SEPARATOR)
        return encode(content.toByteArray()) + "." + encode(sign(content, secret))
    }

    public companion object {
        /** Separates the fields; occurs in no identifier. */
        private const val SEPARATOR = "\n"
        private const val ALGORITHM = "HmacSHA256"
        private const val FIELD_COUNT = 3

        /**
         * Returns the token encoded in [text], or `null` if [text] is malformed or was not signed with [secret].
         *
         * The signatures are compared in constant time. [secret] must not be empty.
         */
        public fun parseOrNull(text: String, secret: String): SessionToken? {
            val content = decodeOrNull(text.substringBefore('.'))?.decodeToString() ?: return null
            val signature = decodeOrNull(text.substringAfter('.', missingDelimiterValue = ""))
            val fields = content.split(SEPARATOR)
            val valid = MessageDigest.isEqual(signature, sign(content, secret)) &&
                fields.size == FIELD_COUNT &&
                fields.all { isIdentifier(it) }
            return if (valid) SessionToken(WorkspaceId(fields[0]), SessionId(fields[1]), VersionId(fields[2])) else null
        }

        private fun sign(content: String, secret: String): ByteArray {
            val mac = Mac.getInstance(ALGORITHM)
            mac.init(SecretKeySpec(secret.toByteArray(), ALGORITHM))
            return mac.doFinal(content.toByteArray())
        }

        private fun encode(bytes: ByteArray): String = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)

        private fun decodeOrNull(text: String): ByteArray? = try {
            Base64.getUrlDecoder().decode(text)
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}
