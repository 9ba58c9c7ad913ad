package org.lycheemount.backend

import org.lycheemount.common.BackendServer

/**
 * A request that is passed through with only its headers changed.
 *
 * @property target path and query exactly as the caller sent them.
 * @property headers all headers of the request except connection and body framing headers.
 * @property requestId id by which [ownerOf] recognises the response; it is not sent. A connection that has carried it lately is not used,
 *   since a late copy of the earlier response could not be told from the response to this request.
 * @property ownerOf the request to which a response with these headers belongs.
 * @property needsNewConnection whether the call uses a connection of its own, which is closed afterwards. An idle connection that the
 *   server has closed meanwhile would turn a definite failure into an unknown outcome.
 */
class PassThroughCall(
    val method: String,
    val target: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    val requestId: String? = null,
    val ownerOf: (ResponseHead) -> ResponseOwner = { ResponseOwner.THIS_REQUEST },
    val needsNewConnection: Boolean = false,
)

/** The request to which a response on a connection belongs. */
enum class ResponseOwner {
    /** The request that was sent last. */
    THIS_REQUEST,

    /** An earlier request on the connection; the response is skipped. */
    OTHER_REQUEST,

    /** The response does not say. It can only belong to the first request on a connection. */
    UNIDENTIFIED,
}

/** Status and headers of a response. Clients get it without connection and body framing headers. */
class ResponseHead(
    val httpStatus: Int,
    val headers: List<Pair<String, String>>,
) {
    /** Returns the value of the first header named [name], ignoring case, or null. */
    fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
}

/** A response whose head has been received and whose body has not been read yet. */
class PassThroughResponse(
    val head: ResponseHead,
    val body: ResponseBody,
    private val closeConnection: () -> Unit = {},
) {
    /** Aborts the response by closing its connection, which makes the server drop the request. */
    fun abort() = closeConnection()
}

/** Outcome of passing a request through to a server. */
sealed interface PassThroughOutcome<out T> {
    /** A response was received and handled; [result] is the value that the handler returned. */
    data class Completed<T>(
        val result: T,
    ) : PassThroughOutcome<T>

    /** No response head was received. */
    data class Failed(
        val failure: AttemptFailure,
        val detail: String,
    ) : PassThroughOutcome<Nothing>
}

/** Passes requests through to backend servers without retries. */
interface PassThroughClient {
    /**
     * Sends [call] to [server] once and calls [handle] with the response, which may begin before the whole request is sent. The
     * connection is reused only if the request has been sent and [handle] reads the body to its end. Otherwise, and on cancellation, it
     * is closed, which makes the server drop the request.
     * Exceptions of [handle] are rethrown.
     */
    suspend fun <T> exchange(
        server: BackendServer,
        call: PassThroughCall,
        handle: suspend (PassThroughResponse) -> T,
    ): PassThroughOutcome<T>
}
