package org.lycheemount.listener

import io.netty.channel.Channel
import io.netty.channel.ChannelHandler
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
 * @param nowNs monotonic time in nanoseconds.
 * @param onReplaced called when a connection is closed in favour of a new one.
 */
internal class CallerConnections(
    private val maxConnections: Int,
    private val memory: MemoryBudget?,
    private val nowNs: () -> Long = System::nanoTime,
    private val onReplaced: () -> Unit,
) {
    private val listeners = ConcurrentHashMap.newKeySet<Channel>()
    private val open = HashSet<CallerConnectionHandler>()

    /** Those of [open] that have been chosen to be closed, and do not count from then on. */
    private val replaced = HashSet<CallerConnectionHandler>()
    private val allClosed = CompletableDeferred<Unit>()

    /** Whether more connections than the bound count, because all others had a request in progress. */
    @Volatile
    private var isExceeded = false

    @Volatile
    private var isClosing = false

    /** Returns a handler for a listener. */
    fun listenerHandler(): ChannelHandler = ListenerHandler(maxConnections + SPARE_CONNECTIONS, nowNs, onOpened = listeners::add)

    /** Returns a handler for a new connection, which is closed after [idleTimeoutS] seconds without a request. */
    fun connectionHandler(
        idleTimeoutS: Long,
        limits: () -> ConnectionLimits,
    ) = CallerConnectionHandler(idleTimeoutS, limits, RequestMemory(memory), ::onOpened, ::onClosed, ::onIdle, nowNs)

    /** Stops accepting connections. */
    suspend fun closeListeners() {
        listeners.forEach { it.close().await() }
        isClosing = true
        completeIfAllClosed()
    }

    /** Waits until no connection is open after [closeListeners]. */
    suspend fun awaitAllClosed() = allClosed.await()

    /** Closes each connection, if it has a request in progress once that has got its response. */
    fun closeOnceIdle() = synchronized(this) { open.toList() }.forEach { it.closeOnceIdle() }

    /** Number of open connections, without those that are about to be closed in favour of new ones. */
    val size: Int
        @Synchronized
        get() = open.size - replaced.size

    @Synchronized
    private fun onOpened(connection: CallerConnectionHandler) {
        open += connection
        replaceExcess()
    }

    /** The bound must hold again without a new connection, since none is accepted when too many are open. */
    private fun onIdle() {
        if (isExceeded) synchronized(this) { replaceExcess() }
    }

    /** Closes connections until no more count than the bound allows. */
    private fun replaceExcess() {
        while (size > maxConnections) {
            // Set before the search, so that a request that ends during it is noticed by onIdle.
            isExceeded = true
            val connection = leastActive() ?: return
            replaced += connection
            connection.closeIfInactive { isClosed -> if (isClosed) onReplaced() else onNotReplaced(connection) }
        }
        isExceeded = false
    }

    /**
     * Returns the connection to close: the one without a request for the longest time, but one whose caller stalls its request before one
     * that was opened just now. Otherwise, callers that stall could keep all others out. A new connection is closed itself if all others
     * have a request in progress that is not stalled.
     */
    private fun leastActive(): CallerConnectionHandler? {
        val now = nowNs()
        val candidates = open.filter { it !in replaced }
        val longestIdle = candidates.filter { !it.isInProgress }.minByOrNull { it.idleSinceNs }
        if (longestIdle != null && now - longestIdle.idleSinceNs >= CallerConnectionHandler.MIN_STALL_NS) return longestIdle
        return candidates.filter { it.isStalled(now) }.minByOrNull { it.lastProgressNs } ?: longestIdle
    }

    @Synchronized
    private fun onNotReplaced(connection: CallerConnectionHandler) {
        replaced -= connection
        replaceExcess()
    }

    @Synchronized
    private fun onClosed(connection: CallerConnectionHandler) {
        open -= connection
        replaced -= connection
        completeIfAllClosed()
    }

    @Synchronized
    private fun completeIfAllClosed() {
        if (isClosing && open.isEmpty()) allClosed.complete(Unit)
    }

    private suspend fun Future<*>.await() =
        suspendCancellableCoroutine { continuation ->
            addListener { continuation.resume(Unit) }
        }

    private companion object {
        /** Accepted connections beyond the bound, so that one with a request can be among those that are about to be closed. */
        private const val SPARE_CONNECTIONS = 16
    }
}
