package org.lycheemount.listener

import io.netty.channel.Channel
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.concurrent.Future
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.suspendCancellableCoroutine
import org.lycheemount.common.MemoryBudget
import java.util.concurrent.ConcurrentHashMap
import kotlin.coroutines.resume

/**
 * Listeners and open connections of one [CallerServer]. Thread-safe.
 *
 * @param memory budget to which requests are charged; null if they are not.
 * @param onReplaced called when a connection is closed in favour of a new one.
 */
internal class CallerConnections(
    private val maxConnections: Int,
    private val memory: MemoryBudget?,
    private val onReplaced: () -> Unit,
) {
    private val listeners = ConcurrentHashMap.newKeySet<Channel>()
    private val open = ConcurrentHashMap.newKeySet<CallerConnectionHandler>()
    private val allClosed = CompletableDeferred<Unit>()

    @Volatile
    private var isClosing = false

    /** Returns a handler for a listener. */
    fun listenerHandler(): ChannelHandler =
        object : ChannelInboundHandlerAdapter() {
            override fun channelActive(context: ChannelHandlerContext) {
                listeners += context.channel()
                context.fireChannelActive()
            }
        }

    /** Returns a handler for a new connection, which is closed after [idleTimeoutS] seconds without a request. */
    fun connectionHandler(
        idleTimeoutS: Long,
        limits: () -> ConnectionLimits,
    ) = CallerConnectionHandler(idleTimeoutS, limits, RequestMemory(memory), ::onOpened, ::onClosed)

    /** Stops accepting connections. */
    suspend fun closeListeners() {
        listeners.forEach { it.close().await() }
        isClosing = true
        completeIfAllClosed()
    }

    /** Waits until no connection is open after [closeListeners]. */
    suspend fun awaitAllClosed() = allClosed.await()

    /** Closes each connection, if it has a request in progress once that has got its response. */
    fun closeOnceIdle() = open.forEach { it.closeOnceIdle() }

    /** Number of open connections. */
    val size: Int get() = open.size

    private fun onOpened(connection: CallerConnectionHandler) {
        open += connection
        if (open.size > maxConnections) replaceOne(connection)
    }

    /** Closes the connection that has been without a request for the longest time, or [newest] if all others have one in progress. */
    @Synchronized
    private fun replaceOne(newest: CallerConnectionHandler) {
        if (open.size <= maxConnections) return
        val replaced = open.filter { it !== newest && !it.isInProgress }.minByOrNull { it.idleSinceNs } ?: newest
        // Not counted from now on, so that each new connection closes one.
        open -= replaced
        replaced.closeIfIdle { isClosed -> if (isClosed) onReplaced() else open += replaced }
    }

    private fun onClosed(connection: CallerConnectionHandler) {
        open -= connection
        completeIfAllClosed()
    }

    private fun completeIfAllClosed() {
        if (isClosing && open.isEmpty()) allClosed.complete(Unit)
    }

    private suspend fun Future<*>.await() =
        suspendCancellableCoroutine { continuation ->
            addListener { continuation.resume(Unit) }
        }
}
