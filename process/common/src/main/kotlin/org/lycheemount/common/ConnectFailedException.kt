package org.lycheemount.common

import java.io.IOException

/** No connection to a server could be opened, so nothing was sent. */
class ConnectFailedException(
    message: String,
    cause: Throwable? = null,
) : IOException(message, cause)
