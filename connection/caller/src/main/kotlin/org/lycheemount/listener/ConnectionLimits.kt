package org.lycheemount.listener

/**
 * Limits on what a caller may send on one connection.
 *
 * @property maxHeaderBytes maximum size of the header fields of a request. The request line may take another [REQUEST_LINE_BYTES].
 * @property maxHeaderFields maximum number of header fields of a request, and of trailers.
 * @property headerTimeoutMs time in milliseconds within which a head that has begun must be complete.
 * @property idleTimeoutMs time in milliseconds after which a connection without a request in progress is closed; null for that of the
 *   server.
 * @property initialBodyBytes size of the part of a body that is read before the handler of its request permits more, by
 *   [CallerConnection.permitBody].
 * @property maxDroppedBodyBytes number of bytes, with the framing of chunks, that are read of a body after the response to its request. The
 *   connection is closed behind them. See [droppedBodyBytesFor].
 */
data class ConnectionLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxHeaderFields: Int = 256,
    val headerTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long? = null,
    val initialBodyBytes: Long = Long.MAX_VALUE,
    val maxDroppedBodyBytes: Long = droppedBodyBytesFor(DEFAULT_MAX_BODY_BYTES),
) {
    /** Maximum number of consecutive bytes that complete no message or part of a body. */
    internal val maxUndecodedBytes: Int get() = maxHeaderBytes + REQUEST_LINE_BYTES

    /** Maximum number of ends of lines in [maxUndecodedBytes]. */
    internal val maxUndecodedLines: Int get() = maxHeaderFields + OTHER_LINES

    /** Values of limits. */
    companion object {
        /** Returns a value of [maxDroppedBodyBytes] that a body of at most [maxBodyBytes] does not reach, even in one-byte chunks. */
        fun droppedBodyBytesFor(maxBodyBytes: Int): Long = BYTES_PER_BODY_BYTE * maxBodyBytes + OTHER_DROPPED_BYTES

        // A chunk of one byte takes six.
        private const val BYTES_PER_BODY_BYTE = 8L

        // Trailers, and the beginning of the next request.
        private const val OTHER_DROPPED_BYTES = 65_536L
        private const val DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
        private const val REQUEST_LINE_BYTES = 16_384

        // The request line, and empty lines around the head.
        private const val OTHER_LINES = 16
    }
}

/** Why a connection is closed for what its caller sent. */
enum class ConnectionRefusal(
    status: String?,
    retryAfterS: Int? = null,
) {
    /** A head, the trailers or a chunk extension exceed the limit, or the head or the trailers have too many fields. */
    HEAD_TOO_LARGE("431 Request Header Fields Too Large"),

    /** A head or the framing of a body is not valid HTTP. */
    MALFORMED_HEAD("400 Bad Request"),

    /** A head was not complete within its timeout. */
    HEAD_TIMEOUT("408 Request Timeout"),

    /** Too much of a body has arrived after the response to its request. The connection is closed without another response. */
    DROPPED_BODY_TOO_LARGE(null),

    /** The memory of the process is needed for other requests. */
    MEMORY_EXHAUSTED("503 Service Unavailable", retryAfterS = 1),

    /** The caller does not read its response, and the memory is needed for other requests. */
    UNREAD_RESPONSE(null),

    /**
     * The listener has too many connections; this one had no request in progress, or its caller did not send or read the rest of one. It is
     * closed without a response.
     */
    TOO_MANY_CONNECTIONS(null),
    ;

    /** Response that is sent before the connection is closed. */
    internal val response =
        if (status == null) {
            ""
        } else {
            val retryAfter = if (retryAfterS == null) "" else "Retry-After: $retryAfterS\r\n"
            "HTTP/1.1 $status\r\n${retryAfter}Connection: close\r\nContent-Length: 0\r\n\r\n"
        }
}
