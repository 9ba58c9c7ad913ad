package org.lycheemount.backend

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A backend server that runs [serve] on each connection and then closes it. */
internal class SocketServer(
    private val serve: Connection.() -> Unit,
) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    /** Number of accepted connections. */
    val connectionCount = AtomicInteger()

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                connectionCount.incrementAndGet()
                thread(isDaemon = true) { socket.use { runCatching { Connection(it).serve() } } }
            }
        }
    }

    fun describe() = BackendServer(BackendServerId("s"), VmId("s"), ZoneId("z"), "127.0.0.1", listener.localPort, targets = emptySet())

    override fun close() = listener.close()

    internal class Connection(
        private val socket: Socket,
    ) {
        val input: InputStream = socket.getInputStream().buffered()

        /** Reads a request head; returns null at the end of the connection. */
        fun readHead(): String? {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) {
                val byte = input.read()
                if (byte < 0) return null
                head.append(byte.toChar())
            }
            return head.toString()
        }

        fun write(text: String) {
            socket.getOutputStream().write(text.encodeToByteArray())
            socket.getOutputStream().flush()
        }

        /** Ends the response but goes on reading. */
        fun endResponse() = socket.shutdownOutput()

        fun reset() {
            socket.setSoLinger(true, 0)
            socket.close()
        }
    }
}
