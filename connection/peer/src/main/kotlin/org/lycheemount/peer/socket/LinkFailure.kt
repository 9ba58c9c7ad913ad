package org.lycheemount.peer.socket

import java.io.IOException

/** Failure that ends a link. Never thrown to callers outside of this module. */
internal class LinkFailure(
    message: String,
    cause: Throwable? = null,
) : IOException(message, cause)
