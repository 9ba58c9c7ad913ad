package org.lycheemount.backend

import io.ktor.http.HttpHeaders
import io.ktor.http.cio.ConnectionOptions
import io.ktor.http.cio.parseHttpBody
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.charsets.TooLongLineException
import io.ktor.utils.io.readLineStrict
import io.ktor.utils.io.writer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.BackendServer
import org.lycheemount.common.ConnectFailedException
import org.lycheemount.common.createSelectorThread
import org.lycheemount.common.defaultMaxConnections
import java.io.EOFException
import java.io.IOException
import java.net.ConnectException
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Pool of keep-alive connections to backend servers. A connection carries one request at a time and is reused only after a
 * complete response.
 *
 * The HTTP client opens a connection for each request, which accounted for most of the latency that a router added to the
 * first token.
 *
 * @param maxConnections number of connections to all servers together beyond which none is kept idle. More are opened if requests use them.
 * @param sweepIntervalMs least time between two searches for expired idle connections.
 * @param connect opens a socket.
 */
internal class BackendConnections(
    private val connectTimeoutMs: Long,
    private val maxConnections: Int = defaultMaxConnections(),
    private val sweepIntervalMs: Long = DEFAULT_SWEEP_INTERVAL_MS,
    private val connect: suspend (SelectorManager, BackendServer) -> Socket = ::connectTo,
) : AutoCloseable {
    private val selectorThread = createSelectorThread("backend-selector")
    private val selector = SelectorManager(selectorThread)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val idle = IdleConnections()

    /** Number of connections that are open or being opened. */
    private val openCount = AtomicInteger()
    private val nextSweepAtNs = AtomicLong(System.nanoTime() + sweepIntervalMs * NS_PER_MS)

    /** Returns an idle connection to [server] that has not carried [requestId] lately, or null. */
    fun acquireIdle(
        server: BackendServer,
        requestId: String? = null,
    ): BackendConnection? {
        while (true) {
            val connection =
                idle.removeLatest(addressOf(server)) { requestId == null || !it.hasCarried(requestId) } ?: return null
            if (connection.isUsable(System.nanoTime())) return connection
            connection.close()
        }
    }

    /**
     * Opens a connection to [server]. If too many are open, the one that has been idle for the longest time is closed. Throws
     * [ConnectFailedException] on failure, which has no effect at the server.
     */
    suspend fun open(server: BackendServer): BackendConnection {
        if (openCount.incrementAndGet() > maxConnections) idle.removeLongestIdle()?.close()
        var connection: BackendConnection? = null
        try {
            withTimeoutOrNull(connectTimeoutMs) { connection = connect(server) }
            return connection ?: throw ConnectFailedException("no connection within $connectTimeoutMs ms")
        } finally {
            if (connection == null) openCount.decrementAndGet()
        }
    }

    private suspend fun connect(server: BackendServer): BackendConnection =
        try {
            BackendConnection(SelectedSocket(connect(selector, server), selector), scope, onClosed = openCount::decrementAndGet)
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            throw ConnectFailedException(failure.message ?: failure.javaClass.simpleName, failure)
        }

    /**
     * Whether [server] refuses a new connection. False if it does not respond within the connect timeout, or if the connection fails for
     * another reason, such as a shortage of file descriptors in this process.
     */
    suspend fun areRefusedBy(server: BackendServer): Boolean =
        withTimeoutOrNull(connectTimeoutMs) {
            try {
                connect(selector, server).close()
                false
            } catch (refusal: ConnectException) {
                currentCoroutineContext().ensureActive()
                true
            } catch (failure: Exception) {
                currentCoroutineContext().ensureActive()
                false
            }
        } ?: false

    /**
     * Returns [connection] to the pool for [keepAliveMs] after a complete response. It is closed if its request was not sent in full or if
     * too many connections are open.
     */
    fun releaseIdle(
        server: BackendServer,
        connection: BackendConnection,
        keepAliveMs: Long = DEFAULT_KEEP_ALIVE_MS,
    ) {
        if (!connection.isRequestSent || openCount.get() > maxConnections) return connection.close()
        val nowNs = System.nanoTime()
        connection.usableUntilNs = nowNs + keepAliveMs * NS_PER_MS
        if (!idle.add(addressOf(server), connection, MAX_IDLE_CONNECTIONS)) connection.close()
        sweepIfDue(nowNs)
    }

    /** Closes idle connections that no request may use any more, above all those to servers that have left. */
    private fun sweepIfDue(nowNs: Long) {
        val dueAtNs = nextSweepAtNs.get()
        if (nowNs - dueAtNs < 0 || !nextSweepAtNs.compareAndSet(dueAtNs, nowNs + sweepIntervalMs * NS_PER_MS)) return
        idle.removeAllBut { it.isUsable(nowNs) }.forEach { it.close() }
    }

    override fun close() {
        idle.removeAllBut { false }.forEach { it.close() }
        scope.cancel()
        selector.close()
        selectorThread.close()
    }

    private fun addressOf(server: BackendServer) = "${server.host}:${server.port}"

    internal companion object {
        /** Shorter than the idle timeout of common HTTP servers, so that the server has rarely closed an idle connection. */
        const val DEFAULT_KEEP_ALIVE_MS = 10_000L
        private const val NS_PER_MS = 1_000_000L
        private const val DEFAULT_SWEEP_INTERVAL_MS = 5_000L
        private const val MAX_IDLE_CONNECTIONS = 128
    }
}

// What the kernel has received counts as memory of the process, and a size of its own choice grows to megabytes.
private const val RECEIVE_BUFFER_BYTES = 65_536

private suspend fun connectTo(
    selector: SelectorManager,
    server: BackendServer,
): Socket =
    aSocket(selector).tcp().connect(server.host, server.port) {
        noDelay = true
        receiveBufferSize = RECEIVE_BUFFER_BYTES
    }

/**
 * Connection to a backend server; used by one coroutine at a time. A request is sent while its response is read, since a server may respond
 * before it has read a long body.
 *
 * @param scope runs the reading half and the rest of long requests until the connection is closed.
 * @param onClosed called once when the connection is closed.
 */
internal class BackendConnection(
    private val socket: BackendSocket,
    private val scope: CoroutineScope,
    private val onClosed: () -> Unit = {},
) : AutoCloseable {
    private val isClosed = AtomicBoolean()
    private val input = ReceiveBuffer(MAX_UNREAD_BYTES)
    private var sending: Job? = null

    @Volatile
    private var receiveFailure: IOException? = null

    @Volatile
    private var sendFailure: IOException? = null

    /** Whether all bytes of the last request, if there was one, have been sent without an error. */
    @Volatile
    var isRequestSent = true
        private set

    @Volatile
    var usableUntilNs: Long = 0

    private val receiving = scope.launch { receive() }
    private val recentIdHashes = ArrayDeque<Int>()

    /** Number of requests sent on this connection. */
    var requestCount = 0
        private set

    /** Records that a request with the id [requestId] is about to be sent. */
    fun onRequest(requestId: String?) {
        requestCount++
        if (requestId == null) return
        if (recentIdHashes.size == MAX_RECENT_IDS) recentIdHashes.removeFirst()
        // Callers choose the ids, which may be long, and the connection outlives their requests.
        recentIdHashes.addLast(requestId.hashCode())
    }

    /** Whether a request with the id [requestId], or another one with the same hash, is among the last ones on this connection. */
    fun hasCarried(requestId: String): Boolean = requestId.hashCode() in recentIdHashes

    /** True if the server has sent bytes that belong to no response read so far. */
    val hasUnexpectedBytes: Boolean get() = input.availableForRead > 0

    /** False if bytes arrived while idle: they belong to no request, so the responses that follow cannot be trusted. */
    fun isUsable(nowNs: Long): Boolean = usableUntilNs - nowNs > 0 && !input.isClosedForRead && !hasUnexpectedBytes

    /** Sends a POST of [body] and returns the response head, or null if the server closed the connection. */
    suspend fun post(
        server: BackendServer,
        path: String,
        body: ByteArray,
    ): ResponseHead? {
        val head = "POST $path HTTP/1.1\r\nHost: ${server.host}:${server.port}\r\nContent-Type: application/json\r\n"
        send("${head}Content-Length: ${body.size}\r\n\r\n".encodeToByteArray(), body)
        return readHead()
    }

    /**
     * Sends a request that consists of [head], which ends with an empty line, and [body]. Does not wait: what the socket does not take at
     * once is sent in the background. After a failure, a response that has arrived can still be read.
     */
    fun send(
        head: ByteArray,
        body: ByteArray,
    ) {
        isRequestSent = false
        sending = null
        val request = RequestBytes(head, body)
        if (!sendAvailable(request)) sending = scope.launch { sendRemainder(request) }
    }

    /** Sends what the socket takes without waiting; returns whether nothing is left to send. */
    private fun sendAvailable(request: RequestBytes): Boolean {
        try {
            while (true) {
                val bytes = request.remaining() ?: break
                socket.write(bytes)
                if (bytes.hasRemaining()) return false
            }
            isRequestSent = true
        } catch (failure: IOException) {
            sendFailure = failure
        }
        return true
    }

    private suspend fun sendRemainder(request: RequestBytes) {
        try {
            do socket.awaitWritable() while (!sendAvailable(request))
        } catch (failure: IOException) {
            sendFailure = failure
        }
    }

    private suspend fun receive() {
        val bytes = ByteBuffer.allocate(RECEIVE_BYTES)
        var failure: IOException? = IOException("the connection was closed")
        try {
            while (socket.read(bytes.clear()) >= 0) {
                input.write(bytes.array(), bytes.position())
            }
            failure = null
        } catch (exception: IOException) {
            failure = exception
        } finally {
            receiveFailure = failure
            // What arrived before a failure can still be read, since it may hold a whole response.
            if (currentCoroutineContext().isActive) input.end() else input.cancel(failure)
        }
    }

    /**
     * Returns null if the server ended the connection and had taken the whole request; otherwise what broke the connection. To be called at
     * the end of the received bytes. Waits while the request is still being sent: the operating system reports a reset only once, and if
     * a write received it, the connection only seems to end.
     */
    suspend fun failureAtEnd(): IOException? {
        sending?.join()
        return receiveFailure ?: sendFailure ?: if (isRequestSent) null else IOException("the request was not sent in full")
    }

    /**
     * Returns the head of the next response after any interim ones, or null if the server closed the connection. Throws [IOException] if
     * the head is too large, cut off or malformed.
     */
    suspend fun readHead(): ResponseHead? {
        repeat(MAX_INTERIM_RESPONSES + 1) {
            val response = readAnyHead() ?: return null
            if (response.httpStatus !in INTERIM_STATUSES) return response
            if (response.httpStatus == SWITCHING_PROTOCOLS_STATUS) throw IOException("the server switched to another protocol")
        }
        throw IOException("the server sent more than $MAX_INTERIM_RESPONSES interim responses")
    }

    private suspend fun readAnyHead(): ResponseHead? {
        val lines = ArrayList<String>()
        var chars = 0
        while (true) {
            val line =
                readHeadLine() ?: return if (lines.isEmpty()) endWithoutHead() else throw EOFException("the connection closed in a head")
            if (lines.isEmpty() && parseStatus(line) == null) throw IOException("the server sent no valid status line")
            if (line.isEmpty()) return parseResponseHead(lines)
            lines += line
            chars += line.length + LINE_END_CHARS
            if (chars > MAX_HEAD_CHARS) throw IOException("the response head exceeds $MAX_HEAD_CHARS characters")
        }
    }

    private fun endWithoutHead(): ResponseHead? = receiveFailure?.let { throw it }

    private suspend fun readHeadLine(): String? =
        try {
            input.readLineStrict(MAX_HEAD_CHARS.toLong())
        } catch (failure: TooLongLineException) {
            throw IOException("a line of the response head exceeds $MAX_HEAD_CHARS characters", failure)
        }

    /** Decodes the body that follows [response], in [scope]. */
    fun body(
        scope: CoroutineScope,
        response: ResponseHead,
    ): ByteReadChannel =
        scope
            .writer(Dispatchers.Unconfined) {
                val lengthBytes = response.header(HttpHeaders.ContentLength)?.toULong()?.toLong() ?: UNKNOWN_LENGTH
                val transferEncoding = response.header(HttpHeaders.TransferEncoding)
                val connectionOptions = ConnectionOptions.parse(response.header(HttpHeaders.Connection))
                parseHttpBody(null, lengthBytes, transferEncoding, connectionOptions, input, channel)
            }.channel

    /** Returns a response body of [lengthBytes], a chunked one, or one that ends when the connection closes if neither is given. */
    fun responseBody(
        lengthBytes: Long?,
        isChunked: Boolean,
    ): ResponseBody =
        when {
            isChunked -> ChunkedBody(input)
            lengthBytes != null -> FixedLengthBody(input, lengthBytes)
            else -> UntilCloseBody(input, ::failureAtEnd)
        }

    override fun close() {
        socket.close()
        receiving.cancel()
        sending?.cancel()
        if (isClosed.compareAndSet(false, true)) onClosed()
    }

    private companion object {
        private const val MAX_HEAD_CHARS = 65_536
        private const val LINE_END_CHARS = 2
        private const val UNKNOWN_LENGTH = -1L
        private const val MAX_INTERIM_RESPONSES = 8
        private const val SWITCHING_PROTOCOLS_STATUS = 101
        private val INTERIM_STATUSES = 100..199
        private const val RECEIVE_BYTES = 8_192

        // A server that sends faster than a caller reads has to wait.
        private const val MAX_UNREAD_BYTES = 32_768L
        private const val MAX_RECENT_IDS = 32
    }
}
