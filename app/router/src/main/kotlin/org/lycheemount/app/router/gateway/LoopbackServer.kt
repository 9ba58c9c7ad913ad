package org.lycheemount.app.router.gateway

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.network.sockets.port
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.discardExact
import io.ktor.utils.io.readUTF8Line
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.lycheemount.common.createSelectorThread
import java.io.EOFException
import java.io.IOException

/**
 * Minimal HTTP server on loopback with fixed responses, which takes a fraction of the start time of Ktor's server. It serves trusted
 * requests of this process only.
 */
internal class LoopbackServer : AutoCloseable {
    private val selectorThread = createSelectorThread("loopback-selector")
    private val selector = SelectorManager(selectorThread)
    private lateinit var listener: ServerSocket

    /** Port on 127.0.0.1; known after [start]. */
    val port: Int get() = listener.port

    /** Starts to listen and serves connections in [scope]. */
    suspend fun start(scope: CoroutineScope) {
        listener = aSocket(selector).tcp().bind(InetSocketAddress("127.0.0.1", 0))
        scope.launch {
            while (true) {
                val connection = listener.accept()
                launch { connection.use { serveUntilClosed(it) } }
            }
        }
    }

    override fun close() {
        listener.close()
        selector.close()
        selectorThread.close()
    }

    private suspend fun serveUntilClosed(connection: Socket) {
        val input = connection.openReadChannel()
        val output = connection.openWriteChannel()
        try {
            while (true) {
                val requestLine = input.readUTF8Line(MAX_LINE_CHARS) ?: return
                input.discardExact(readBodyLength(input))
                if (STREAM_PATH in requestLine) respondWithStream(output) else output.writeStringUtf8(PLAIN_RESPONSE)
                output.flush()
            }
        } catch (ignored: IOException) {
            // The warm-up closes its connections at its end, also in the middle of a response.
        }
    }

    /** Reads the headers of a request and returns the length of its body in bytes. */
    private suspend fun readBodyLength(input: ByteReadChannel): Long {
        var bodyBytes = 0L
        while (true) {
            val line = input.readUTF8Line(MAX_LINE_CHARS) ?: throw EOFException("connection closed in a head")
            if (line.isEmpty()) return bodyBytes
            if (line.startsWith(CONTENT_LENGTH, ignoreCase = true)) bodyBytes = line.substring(CONTENT_LENGTH.length).trim().toLong()
        }
    }

    private suspend fun respondWithStream(output: ByteWriteChannel) {
        output.writeStringUtf8(STREAM_HEAD)
        for (event in EVENT_CHUNKS) {
            output.writeStringUtf8(event)
            output.flush()
        }
        output.writeStringUtf8(LAST_CHUNK)
    }

    /** Paths and responses. */
    companion object {
        /** Requests with this path get an event stream. */
        const val STREAM_PATH = "/stream"
        private const val CONTENT_LENGTH = "Content-Length:"
        private const val MAX_LINE_CHARS = 8_192
        private const val EVENTS_PER_STREAM = 4
        private const val HEXADECIMAL = 16
        private const val LAST_CHUNK = "0\r\n\r\n"
        private const val PLAIN_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nKeep-Alive: timeout=30\r\n\r\nwarm-up"
        private const val STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=30\r\n\r\n"
        private val EVENT_CHUNKS =
            List(EVENTS_PER_STREAM) { number ->
                val event = "id: ${number + 1}\ndata: warm-up\n\n"
                "${event.length.toString(HEXADECIMAL)}\r\n$event\r\n"
            }
    }
}
