package org.lycheemount.platform.http

/** Outcome of an HTTP exchange with the platform. */
sealed interface PlatformExchange {
    /**
     * A complete response was received.
     *
     * @property headers names and values as received.
     */
    class Response(
        val httpStatus: Int,
        val body: ByteArray,
        val headers: List<Pair<String, String>> = emptyList(),
    ) : PlatformExchange {
        /** Returns the value of the first header named [name], ignoring case, or null. */
        fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
    }

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
