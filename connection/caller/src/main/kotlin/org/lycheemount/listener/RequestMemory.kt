package org.lycheemount.listener

import io.netty.handler.codec.http.HttpRequest
import org.lycheemount.common.MemoryAccount
import org.lycheemount.common.MemoryBudget

/**
 * Charges what the requests of one connection make this process hold to [budget]: an account is opened with the first byte of a head, and
 * released when the response has been written or the connection has closed, and the handler of the request has ended.
 *
 * Used by the thread of the connection, except for [retain].
 *
 * @param budget null if nothing is charged.
 */
internal class RequestMemory(
    private val budget: MemoryBudget?,
) {
    @Volatile
    private var account: MemoryAccount? = null
    private var chargedBytes = 0L

    /** Part of [chargedBytes] for what is not decoded of a body. */
    private var undecodedBodyBytes = 0L

    /** Called by any thread when the memory of a response that its caller does not read is needed for others. */
    var onUnreadDropped: () -> Unit = {}

    /** Whether the memory of the current request is needed for others. */
    val isDropped: Boolean get() = account?.isDropped == true

    /** Another [part] of an incomplete head has been decoded. */
    fun onPartOfHead(part: InputSize) = charge(chargedBytes + costOf(part.lines, part.bytes))

    /** The head of [request] is complete. */
    fun onHead(request: HttpRequest) {
        val headers = request.headers()
        val fieldBytes = headers.iteratorCharSequence().asSequence().sumOf { it.key.length + it.value.length }
        charge(REQUEST_BYTES + costOf(headers.size(), fieldBytes + request.uri().length))
    }

    /** The last [bytes] bytes of the body have completed no part of it, for example a chunk extension or trailers. */
    fun onUndecodedBody(bytes: Int) {
        val headBytes = chargedBytes - undecodedBodyBytes
        val totalBytes = BUFFER_GROWTH * bytes
        if (account == null || totalBytes == undecodedBodyBytes) return
        undecodedBodyBytes = totalBytes
        charge(headBytes + undecodedBodyBytes)
    }

    /** The whole response has been written, but the connection cannot send it before the caller reads. */
    fun onUnread() {
        account?.setUnread(true, monotonicMs())
    }

    /** The connection has sent a part of the response. */
    fun onPartSent() {
        account?.onProgress(monotonicMs())
    }

    /** Returns the account of the current request for another holder, or null if nothing is charged. */
    fun retain(): MemoryAccount? = account?.retain()

    /** The response has been written, or the connection has closed. */
    fun release() {
        account?.release()
        account = null
        chargedBytes = 0
        undecodedBodyBytes = 0
    }

    private fun charge(totalBytes: Long) {
        if (budget == null) return
        val nowMs = monotonicMs()
        val open = account ?: budget.open(nowMs, onUnreadDropped).also { account = it }
        // A part of a head is estimated, and may have held the beginning of a body.
        if (totalBytes < chargedBytes) open.giveBack(chargedBytes - totalBytes) else open.charge(totalBytes - chargedBytes, nowMs)
        chargedBytes = totalBytes
    }

    internal companion object {
        /** Heap in bytes that a request costs besides its fields and their characters. */
        const val REQUEST_BYTES = 4_096L

        /** Heap in bytes that a header field costs besides its characters. */
        const val FIELD_BYTES = 160L

        /** Copies of each character: what was decoded, and what is sent to a server. */
        const val CHARACTER_COPIES = 2L

        // The decoder doubles the buffer that holds an incomplete line.
        private const val BUFFER_GROWTH = 2L

        private fun costOf(
            fields: Int,
            characters: Int,
        ): Long = fields * FIELD_BYTES + characters * CHARACTER_COPIES
    }
}
