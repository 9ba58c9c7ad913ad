package org.lycheemount.testing

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

/** A server on [LISTENER_HOST] that runs [serve] on each connection, in a thread of its own, and then closes the connection. */
class SocketServer(
    private val serve: Connection.() -> Unit,
) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getByName(LISTENER_HOST))

    /** Number of accepted connections. */
    val connectionCount = AtomicInteger()

    /** Port on which the server listens. */
    val port: Int get() = listener.localPort

    private val acceptor =
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                connectionCount.incrementAndGet()
                thread(isDaemon = true) { socket.use { runCatching { Connection(it).serve() } } }
            }
        }

    /** Describes this server as a backend server without targets. */
    fun describe() = BackendServer(BackendServerId("s"), VmId("s"), ZoneId("z"), LISTENER_HOST, port, targets = emptySet())

    /** Refuses connections from its return on. The port stays open until the thread that accepts connections has noticed. */
    override fun close() {
        listener.close()
        acceptor.join()
    }

    /** An accepted connection. */
    class Connection internal constructor(
        private val socket: Socket,
    ) {
        /** Bytes from the client. */
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

        /** Sends [text] at once. */
        fun write(text: String) {
            socket.getOutputStream().write(text.encodeToByteArray())
            socket.getOutputStream().flush()
        }

        /** Ends the response but goes on reading. */
        fun endResponse() = socket.shutdownOutput()

        /** Resets the connection. */
        fun reset() {
            socket.setSoLinger(true, 0)
            socket.close()
        }
    }
}
