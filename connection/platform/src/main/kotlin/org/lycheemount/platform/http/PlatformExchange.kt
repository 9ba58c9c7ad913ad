package org.lycheemount.platform.http

/** What became of one HTTP exchange with the platform. */
sealed interface PlatformExchange {
    /** A complete response arrived. */
    class Answered(
        val httpStatus: Int,
        val body: ByteArray,
    ) : PlatformExchange

    /** No connection could be opened, so the platform saw nothing. */
    class NotSent(
        val detail: String,
    ) : PlatformExchange

    /** The request may have been handled, but no complete response arrived in time. */
    class Lost(
        val detail: String,
    ) : PlatformExchange
}
