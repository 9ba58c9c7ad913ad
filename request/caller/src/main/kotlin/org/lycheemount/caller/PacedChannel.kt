package org.lycheemount.caller

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.CountedByteWriteChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.listener.CallerResponse
import java.io.IOException

/**
 * Body of a response, which [flush] passes on as fast as the caller reads it. What waits for the caller is charged to the memory of the
 * request.
 *
 * @param response null if it is not known what the connection has taken.
 */
@OptIn(InternalAPI::class)
internal class PacedChannel(
    private val channel: CountedByteWriteChannel,
    private val response: CallerResponse?,
    private val memory: ResponseMemory?,
) : ByteWriteChannel by channel {
    /** Passes on what has been written. Throws [IOException] if the caller does not read, or is gone. */
    override suspend fun flush() {
        channel.flush()
        memory?.charge(unsentBytes())
        if (memory?.isDropped == true) throw TruncatedResponseException("the memory is needed for other requests")
        if (unsentBytes() > MAX_UNSENT_BYTES) awaitSent(response ?: return)
    }

    /** Passes on what has been written, without waiting for the caller. */
    suspend fun flushWithoutPace() = channel.flush()

    private fun unsentBytes(): Int = response?.unsentBytes(channel.totalBytesWritten.toLong()) ?: 0

    private suspend fun awaitSent(response: CallerResponse) {
        memory?.setUnread(true)
        while (unsentBytes() > MAX_UNSENT_BYTES) {
            withTimeoutOrNull(MAX_STALL_MS) { response.awaitProgress() }
                ?: throw TruncatedResponseException("the caller has read nothing for $MAX_STALL_MS ms")
            memory?.setUnread(true)
        }
        memory?.setUnread(false)
    }

    companion object {
        /** The HTTP engine collects a body up to this size before it sends any of it. */
        const val MAX_UNSENT_BYTES: Int = 65_536

        // Below the time after which the connection closes without a reason in the log.
        private const val MAX_STALL_MS = 50_000L
    }
}
