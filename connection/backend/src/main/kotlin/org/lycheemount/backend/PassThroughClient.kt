package org.lycheemount.backend

import org.lycheemount.common.BackendServer

/**
 * A request to be passed through unchanged but for its headers.
 *
 * @property target path and query as the caller sent them.
 * @property headers all headers of the request but those of the connection and of the body's framing.
 * @property isOwnResponse whether an answer with these headers belongs to this request; others on the same connection are skipped.
 */
class PassThroughCall(
    val method: String,
    val target: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    val isOwnResponse: (ResponseHead) -> Boolean = { true },
)

/** Status and headers of an answer, without the headers of the connection and of the body's framing. */
class ResponseHead(
    val httpStatus: Int,
    val headers: List<Pair<String, String>>,
) {
    /** Returns the first header called [name], in any case, or null. */
    fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
}

/** An answer whose head has come; its body is still to be read. */
class PassThroughResponse(
    val head: ResponseHead,
    val body: ResponseBody,
    private val closeConnection: () -> Unit = {},
) {
    /** Ends the answer by closing its connection, which makes the server drop the request. */
    fun abort() = closeConnection()
}

/** Outcome of passing a request through to one server. */
sealed interface PassThroughOutcome<out T> {
    /** An answer came and was handled with [result]. */
    data class Completed<T>(
        val result: T,
    ) : PassThroughOutcome<T>

    /** No head of an answer came. */
    data class Failed(
        val failure: AttemptFailure,
        val detail: String,
    ) : PassThroughOutcome<Nothing>
}

/** Passes requests through to backend servers and never repeats one. */
interface PassThroughClient {
    /**
     * Sends [call] to [server] once and has [handle] read the answer. The connection is kept only if [handle] has read the body
     * to its end; otherwise, and on cancellation, it is closed, which makes the server drop the request.
     * Exceptions of [handle] are passed on.
     */
    suspend fun <T> exchange(
        server: BackendServer,
        call: PassThroughCall,
        handle: suspend (PassThroughResponse) -> T,
    ): PassThroughOutcome<T>
}
