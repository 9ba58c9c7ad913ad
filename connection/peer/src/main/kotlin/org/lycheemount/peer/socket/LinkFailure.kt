package org.lycheemount.peer.socket

import java.io.IOException

/** Ends one link. Never leaves this module. */
internal class LinkFailure(
    message: String,
    cause: Throwable? = null,
) : IOException(message, cause)
