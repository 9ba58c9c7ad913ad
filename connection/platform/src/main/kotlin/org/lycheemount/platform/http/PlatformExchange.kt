package org.lycheemount.platform.http

/** Outcome of an HTTP exchange with the platform. */
sealed interface PlatformExchange {
    /** A complete response was received. */
    class Response(
        val httpStatus: Int,
        val body: ByteArray,
    ) : PlatformExchange

    /** The response is longer than its reader accepts, and was not read to its end. The request has been handled. */
    data object TooLong : PlatformExchange

    /** No connection could be opened, so the platform did not receive the request. */
    class NotSent(
        val detail: String,
    ) : PlatformExchange

    /** No complete response was received in time; the request may have been handled. */
    class Lost(
        val detail: String,
    ) : PlatformExchange
}
