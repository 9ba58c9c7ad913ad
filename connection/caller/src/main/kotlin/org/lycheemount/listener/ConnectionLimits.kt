package org.lycheemount.listener

/**
 * Limits on what a caller may send on one connection.
 *
 * @property maxHeaderBytes maximum size of the header fields of a request. The request line may take another [REQUEST_LINE_BYTES].
 * @property headerTimeoutMs time in milliseconds within which a head that has begun must be complete.
 * @property initialBodyBytes size of the part of a body that is read before the handler of its request permits more, by
 *   [CallerConnection.permitBody].
 */
data class ConnectionLimits(
    val maxHeaderBytes: Int = 16_384,
    val headerTimeoutMs: Long = 3_000,
    val initialBodyBytes: Long = Long.MAX_VALUE,
) {
    /** Maximum number of consecutive bytes that complete no message or part of a body. */
    internal val maxUndecodedBytes: Int get() = maxHeaderBytes + REQUEST_LINE_BYTES

    private companion object {
        private const val REQUEST_LINE_BYTES = 16_384
    }
}

/** Why a connection is closed for what its caller sent. */
enum class ConnectionRefusal(
    status: String?,
) {
    /** A head, the trailers or a chunk extension exceed the limit. */
    HEAD_TOO_LARGE("431 Request Header Fields Too Large"),

    /** A head or the framing of a body is not valid HTTP. */
    MALFORMED_HEAD("400 Bad Request"),

    /** A head was not complete within its timeout. */
    HEAD_TIMEOUT("408 Request Timeout"),

    /** The listener has too many connections; this one had no request in progress. It is closed without a response. */
    TOO_MANY_CONNECTIONS(null),
    ;

    /** Response that is sent before the connection is closed. */
    internal val response = if (status == null) "" else "HTTP/1.1 $status\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
}
