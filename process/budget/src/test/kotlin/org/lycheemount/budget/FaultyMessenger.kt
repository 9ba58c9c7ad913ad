package org.lycheemount.budget

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lycheemount.common.RouterId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerHandler
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply
import kotlin.random.Random

/** Delays some messages far beyond their timeout, so that they arrive late, out of order and sometimes twice. */
internal class FaultyMessenger(
    private val inner: PeerMessenger,
    private val networkScope: CoroutineScope,
    private val routerScope: CoroutineScope,
    private val random: Random,
) : PeerMessenger by inner {
    /** Share of calls whose message is delayed, from 0 to 1. On average, half of these are also delivered in time. */
    var delayedShare = 0.0

    override suspend fun call(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
        timeoutMs: Long,
    ): PeerReply {
        val isDelayed = random.nextDouble() < delayedShare
        if (isDelayed) {
            val extraDelayMs = random.nextLong(1, MAX_EXTRA_DELAY_MS)
            networkScope.launch {
                delay(extraDelayMs)
                inner.call(to, channel, payload, timeoutMs)
            }
            if (random.nextBoolean()) return PeerReply.Unknown
        }
        return inner.call(to, channel, payload, timeoutMs)
    }

    /** Runs handlers in the scope of the router, so that messages to a paused router are handled after the pause. */
    override fun register(
        channel: PeerChannel,
        handler: PeerHandler,
    ) = inner.register(channel) { from, payload -> routerScope.async { handler.handle(from, payload) }.await() }

    private companion object {
        private const val MAX_EXTRA_DELAY_MS = 60_000L
    }
}
