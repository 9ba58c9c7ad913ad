package org.lycheemount.caller

import java.io.IOException

/** Aborts a truncated response: the caller's connection is closed without the end of the response. */
internal class TruncatedResponseException(
    reason: String,
) : IOException(reason)
