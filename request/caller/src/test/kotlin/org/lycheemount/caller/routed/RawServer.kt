package org.lycheemount.caller.routed

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ModelId
import org.lycheemount.common.ServiceId
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import java.io.BufferedReader
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A backend server that sends the next scripted response, byte for byte, to each request. */
internal class RawServer(
    private val id: String,
) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val script = LinkedBlockingQueue<Connection.() -> Unit>()

    /** Heads of the received requests, in order. */
    val requests = CopyOnWriteArrayList<String>()

    /** Number of accepted connections. */
    val connectionCount = AtomicInteger()

    /** Receives an element when the client closes a connection for which the script waits in [Connection.awaitClose]. */
    val callerDisconnects = LinkedBlockingQueue<Unit>()

    private val acceptor =
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                connectionCount.incrementAndGet()
                thread(isDaemon = true) { serve(socket) }
            }
        }

    /** Describes the server as run [run] of [version]. */
    fun describe(
        version: SoftwareVersion = SoftwareVersion.UNSTATED,
        run: Int = 1,
        service: String = "s1",
    ) = BackendServer(
        BackendServerId(id),
        VmId("$id@$run"),
        ZoneId("z1"),
        "127.0.0.1",
        listener.localPort,
        setOf(BackendTarget.Service(ServiceId(service)), BackendTarget.Model(ModelId(service))),
        softwareVersion = version,
    )

    /** Sends [response] to the next request. The connection is then closed unless [response] sets [Connection.keepAlive]. */
    fun enqueue(response: Connection.() -> Unit) = script.add(response)

    private fun serve(socket: Socket) =
        socket.use {
            val connection = Connection(socket, callerDisconnects)
            while (true) {
                requests += connection.readHead() ?: return
                script.take().invoke(connection)
                if (!connection.keepAlive) return
            }
        }

    /** Refuses connections when it returns. */
    override fun close() {
        listener.close()
        // A thread that is blocked in accept may still take one connection after the close.
        acceptor.join()
    }

    internal class Connection(
        private val socket: Socket,
        private val callerDisconnects: LinkedBlockingQueue<Unit>,
    ) {
        private val input: InputStream = socket.getInputStream()
        private val output: OutputStream = socket.getOutputStream()
        private val reader: BufferedReader = input.bufferedReader()

        /** Whether further requests are read from the connection. */
        var keepAlive = false

        fun readHead(): String? {
            val lines = generateSequence { runCatching { reader.readLine() }.getOrNull() }.takeWhile { it.isNotEmpty() }.toList()
            return lines.joinToString("\n").ifEmpty { null }
        }

        fun write(text: String) {
            output.write(text.encodeToByteArray())
            output.flush()
        }

        /** Sends a head, which announces the close of a connection that is not kept. The next request would else be sent on it as well. */
        fun head(
            status: String,
            vararg headers: String,
        ) {
            val announced = if (keepAlive || headers.any { it.startsWith("Connection:") }) emptyList() else listOf("Connection: close")
            write((listOf("HTTP/1.1 $status") + headers + announced).joinToString("\r\n", postfix = "\r\n\r\n"))
        }

        fun chunk(text: String) = write("${text.length.toString(16)}\r\n$text\r\n")

        fun event(id: Int) = chunk("id: $id\ndata: e$id\n\n")

        fun startStream() = head("200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "X-Id: r")

        fun endStream() = write("0\r\n\r\n")

        /** Resets the connection once [isRead] shows that what was written so far has been read, or after a minute. */
        fun resetAfter(isRead: CountDownLatch) {
            isRead.await(RESET_TIMEOUT_S, TimeUnit.SECONDS)
            socket.setSoLinger(true, 0)
            socket.close()
        }

        /** Waits until the client closes the connection. */
        fun awaitClose() {
            runCatching { input.read() }
            callerDisconnects.add(Unit)
        }
    }

    private companion object {
        private const val RESET_TIMEOUT_S = 60L
    }
}
