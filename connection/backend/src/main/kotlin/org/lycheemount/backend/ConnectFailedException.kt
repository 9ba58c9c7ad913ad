package org.lycheemount.backend

import java.io.IOException

/** No connection to a backend server could be opened, so nothing was sent. */
internal class ConnectFailedException(
    message: String,
    cause: Throwable? = null,
) : IOException(message, cause)
