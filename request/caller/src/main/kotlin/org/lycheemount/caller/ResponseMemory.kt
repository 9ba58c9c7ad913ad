package org.lycheemount.caller

import org.lycheemount.common.Clock
import org.lycheemount.common.MemoryAccount

/** Charges a response that waits for its caller to [account]. Used by one coroutine at a time. */
internal class ResponseMemory(
    private val account: MemoryAccount,
    private val clock: Clock,
) {
    private var chargedBytes = 0L

    /** Charges [unsentBytes] of the response, their copies in the output buffer, and the receive buffer of the connection to the server. */
    fun charge(unsentBytes: Int) {
        val neededBytes = if (unsentBytes > PacedChannel.MAX_UNSENT_BYTES) FULL_BYTES else UNSENT_COPIES * unsentBytes
        if (neededBytes < chargedBytes + STEP_BYTES) return
        account.charge(neededBytes - chargedBytes, clock.monotonicMs())
        chargedBytes = neededBytes
    }

    /** Whether the memory of the request is needed for others. */
    val isDropped: Boolean get() = account.isDropped

    /** Whether the response waits for its caller. */
    fun setUnread(isUnread: Boolean) = account.setUnread(isUnread, clock.monotonicMs())

    private companion object {
        private const val STEP_BYTES = 4_096L

        // In the channel of the response and in the output buffer of the connection.
        private const val UNSENT_COPIES = 2L

        // Both of these, and the receive buffer of the connection to the server.
        private const val FULL_BYTES = 3L * PacedChannel.MAX_UNSENT_BYTES
    }
}
