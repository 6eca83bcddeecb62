package org.quetzalloom.daemon.client

import kotlinx.io.IOException

/** A response that breaks the format of HTTP or of our messages, or that is not whole. The request may have run. */
internal class InvalidResponseException(message: String?, cause: Throwable? = null) : IOException(message, cause)
