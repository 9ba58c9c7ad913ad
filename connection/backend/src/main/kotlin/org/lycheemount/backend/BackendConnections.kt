package org.lycheemount.backend

import io.ktor.http.cio.Response
import io.ktor.http.cio.parseHttpBody
import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.BackendServer
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque

/**
 * Kept connections to model engines. A connection carries one generation at a time and is kept only after a complete answer.
 *
 * The HTTP client opens a connection for each request, which took most of the time that a router added to a first token.
 */
internal class EngineConnections(
    private val connectTimeoutMs: Long,
) : AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val idle = ConcurrentHashMap<String, ConcurrentLinkedDeque<EngineConnection>>()

    /** Returns an idle connection to [server], or null. */
    fun takeIdle(server: BackendServer): EngineConnection? {
        val connections = idle[addressOf(server)] ?: return null
        while (true) {
            val connection = connections.pollLast() ?: return null
            if (connection.isUsable(System.nanoTime() - MAX_IDLE_NS)) return connection
            connection.close()
        }
    }

    /** Opens a connection to [server]; a failure throws [ConnectException] and has had no effect at the server. */
    suspend fun open(server: BackendServer): EngineConnection =
        withTimeoutOrNull(connectTimeoutMs) {
            EngineConnection(aSocket(selector).tcp().connect(server.host, server.port) { noDelay = true })
        } ?: throw ConnectException("no connection within $connectTimeoutMs ms")

    /** Keeps [connection] after a complete answer. */
    fun keep(
        server: BackendServer,
        connection: EngineConnection,
    ) {
        connection.idleSinceNs = System.nanoTime()
        val connections = idle.computeIfAbsent(addressOf(server)) { ConcurrentLinkedDeque() }
        if (connections.size >= MAX_IDLE_CONNECTIONS) connection.close() else connections.addLast(connection)
    }

    override fun close() {
        idle.values.forEach { connections -> connections.forEach { it.close() } }
        selector.close()
    }

    private fun addressOf(server: BackendServer) = "${server.host}:${server.port}"

    private companion object {
        // Shorter than the idle timeout of common HTTP servers, so that a kept connection is rarely a closed one.
        private const val MAX_IDLE_NS = 10_000_000_000L
        private const val MAX_IDLE_CONNECTIONS = 128
    }
}

/** One connection to a model engine; used by one coroutine at a time. */
internal class EngineConnection(
    private val socket: Socket,
) : AutoCloseable {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    @Volatile
    var idleSinceNs: Long = 0

    fun isUsable(earliestIdleNs: Long): Boolean = idleSinceNs - earliestIdleNs > 0 && !input.isClosedForRead && !output.isClosedForWrite

    /** Sends a POST of [body] and returns the head of the answer, or null when the server has closed the connection. */
    suspend fun post(
        server: BackendServer,
        path: String,
        body: ByteArray,
    ): Response? {
        val head = "POST $path HTTP/1.1\r\nHost: ${server.host}:${server.port}\r\nContent-Type: application/json\r\n"
        output.writeFully("${head}Content-Length: ${body.size}\r\n\r\n".encodeToByteArray() + body)
        output.flush()
        return parseResponse(input)
    }

    /** Decodes the body that follows [response], in [scope]. */
    fun body(
        scope: CoroutineScope,
        response: Response,
    ): ByteReadChannel = scope.writer(Dispatchers.Unconfined) { parseHttpBody(response.headers, input, channel) }.channel

    override fun close() = socket.close()
}
