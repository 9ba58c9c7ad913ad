package org.lycheemount.app.isolated

import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Connections of callers that do not follow the protocol to one router at [address], each with a thread of its own. */
class CallerCrowd(
    private val address: InetSocketAddress,
) : AutoCloseable {
    private val connections = CopyOnWriteArrayList<CrowdConnection>()
    private val sentParts = AtomicLong()

    @Volatile
    private var isEnded = false

    /** Number of connections that the router has not closed. */
    val openCount: Int get() = connections.count { !it.isClosedByRouter }

    /** Megabytes that all connections have sent. */
    val sentMb: Long get() = connections.sumOf { it.sentBytes } / BYTES_PER_MB

    /** Opens [count] connections, on each of which [behave] runs once. The argument is the number of the connection. */
    fun open(
        count: Int,
        behave: CrowdConnection.(Int) -> Unit,
    ) = repeat(count) { index ->
        val connection = CrowdConnection(address) { sentParts.incrementAndGet() }
        connections += connection
        thread(isDaemon = true, name = "crowd-$index") { connection.run { behave(index) } }
    }

    /** Runs [caller] on [count] threads, for callers that open several connections one after the other. */
    fun startCallers(
        count: Int,
        caller: (open: () -> CrowdConnection) -> Unit,
    ) = repeat(count) { index ->
        thread(isDaemon = true, name = "caller-$index") { caller(::openOne) }
    }

    private fun openOne() =
        CrowdConnection(address) { sentParts.incrementAndGet() }.also {
            connections += it
            if (isEnded) it.close()
        }

    /**
     * Waits until no connection has been opened or has sent anything for [QUIET_MS]: all have sent what they send, or the router reads no
     * more. This does not depend on the speed of the machine, unlike a fixed time of traffic. Calls [onCheck] all the while.
     *
     * @param otherPartCount number of parts that others have sent because of the connections.
     */
    fun awaitQuiet(
        otherPartCount: () -> Long,
        onCheck: () -> Unit,
    ) {
        val deadlineNs = System.nanoTime() + TRAFFIC_TIMEOUT_MS * NANOS_PER_MS
        var lastCount = -1L
        var changedAtNs = System.nanoTime()
        while (System.nanoTime() < deadlineNs && System.nanoTime() - changedAtNs < QUIET_MS * NANOS_PER_MS) {
            val count = sentParts.get() + otherPartCount()
            if (count != lastCount) changedAtNs = System.nanoTime()
            lastCount = count
            onCheck()
            Thread.sleep(CHECK_INTERVAL_MS)
        }
    }

    /** Waits until the router has closed all connections, at most [timeoutMs]. */
    fun awaitAllClosed(timeoutMs: Long) {
        val deadlineNs = System.nanoTime() + timeoutMs * NANOS_PER_MS
        while (openCount > 0 && System.nanoTime() < deadlineNs) Thread.sleep(CHECK_INTERVAL_MS)
    }

    override fun close() {
        isEnded = true
        connections.forEach { it.close() }
    }

    private companion object {
        private const val QUIET_MS = 5_000L
        private const val TRAFFIC_TIMEOUT_MS = 120_000L
        private const val CHECK_INTERVAL_MS = 50L
        private const val BYTES_PER_MB = 1_048_576L
        private const val NANOS_PER_MS = 1_000_000L
    }
}

/** One connection of a [CallerCrowd]. Used by one thread, except for the properties and [close]. */
class CrowdConnection internal constructor(
    private val address: InetSocketAddress,
    private val onSent: () -> Unit,
) : AutoCloseable {
    private val socket = Socket()

    /** Whether the router has closed the connection or not accepted it. */
    @Volatile
    var isClosedByRouter: Boolean = false
        private set

    @Volatile
    var sentBytes: Long = 0
        private set

    @Volatile
    private var isEnded = false

    /** Connects and calls [behave], until either side closes the connection. */
    fun run(behave: CrowdConnection.() -> Unit) {
        try {
            // The router must not rely on a caller that reads for what it has to hold.
            socket.receiveBufferSize = RECEIVE_BUFFER_BYTES
            socket.connect(address, CONNECT_TIMEOUT_MS)
            onSent()
            behave()
        } catch (failure: IOException) {
            if (!isEnded) isClosedByRouter = true
        }
    }

    /** Sends [bytes] and waits until the operating system has taken them. */
    fun send(bytes: ByteArray) {
        var sent = 0
        while (sent < bytes.size) {
            val count = minOf(PART_BYTES, bytes.size - sent)
            socket.getOutputStream().write(bytes, sent, count)
            sent += count
            sentBytes += count
            onSent()
        }
    }

    /** Sends [text]. */
    fun send(text: String) = send(text.encodeToByteArray())

    /** Reads until the router closes the connection. */
    fun readToEnd() {
        val bytes = ByteArray(PART_BYTES)
        while (socket.getInputStream().read(bytes) >= 0) continue
        isClosedByRouter = true
    }

    /** Reads a response whose body has a length, and returns its status; null at the end of the connection. */
    fun readResponse(): Int? = readResponse(socket.getInputStream()).also { if (it == null) isClosedByRouter = true }

    /** Reads one byte a second, until the connection is closed. */
    fun readSlowly() {
        while (socket.getInputStream().read() >= 0) Thread.sleep(SLOW_READ_INTERVAL_MS)
        isClosedByRouter = true
    }

    override fun close() {
        isEnded = true
        socket.close()
    }

    private companion object {
        private const val RECEIVE_BUFFER_BYTES = 8_192
        private const val PART_BYTES = 65_536
        private const val CONNECT_TIMEOUT_MS = 60_000
        private const val SLOW_READ_INTERVAL_MS = 1_000L
    }
}
