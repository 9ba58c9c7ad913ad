package org.lycheemount.platform.http

/** Outcome of an HTTP exchange with the platform. */
sealed interface PlatformExchange {
    /** A complete response was received. */
    class Response(
        val httpStatus: Int,
        val body: ByteArray,
    ) : PlatformExchange

    /** No connection could be opened, so the platform did not receive the request. */
    class NotSent(
        val detail: String,
    ) : PlatformExchange

    /** No complete response was received in time; the request may have been handled. */
    class Lost(
        val detail: String,
    ) : PlatformExchange
}
