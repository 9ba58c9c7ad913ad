package org.lycheemount.app.router.gateway

import org.lycheemount.platform.adapter.testing.LAST_EVENT_ID_HEADER
import org.lycheemount.platform.adapter.testing.REQUEST_ID_HEADER
import org.lycheemount.platform.adapter.testing.SIGNATURE_HEADER
import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A backend server of the software version [version], which responds to each request with a stream whose events contain its version. */
internal class VersionedStreamServer(
    private val version: String,
) : AutoCloseable {
    /** Whether it closes the connections of new streams inside the event after [PART_EVENTS]. */
    @Volatile
    var breaksOff = true

    /** Number of requests to resume a stream that have reached it. */
    val resumptionCount = AtomicInteger()

    private val connections = ConcurrentHashMap.newKeySet<Socket>()
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))

    /** Where it listens, as `IP address:port`. */
    val address: String = "127.0.0.1:${listener.localPort}"

    init {
        startThread { while (true) listener.accept().also { connections += it }.let { startThread { serve(it) } } }
    }

    private fun serve(connection: Socket) =
        connection.use {
            val reader = it.getInputStream().bufferedReader()
            while (true) {
                val head = generateSequence { reader.readLine() }.takeWhile(String::isNotEmpty).toList()
                if (head.isEmpty() || !respond(head, it.getOutputStream())) break
            }
        }

    /** Responds to the request with [head]. Returns false if the stream is to break off. */
    private fun respond(
        head: List<String>,
        output: OutputStream,
    ): Boolean {
        val lastEventId = header(head, LAST_EVENT_ID_HEADER)?.toInt()
        if (lastEventId != null) resumptionCount.incrementAndGet()
        val responseHead =
            listOf(
                "HTTP/1.1 200 OK",
                "$REQUEST_ID_HEADER: ${header(head, REQUEST_ID_HEADER)}",
                "$SIGNATURE_HEADER: signature",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            )
        output.write((responseHead.joinToString("\r\n") + "\r\n\r\n").encodeToByteArray())
        for (eventId in (lastEventId ?: 0) + 1..STREAM_EVENTS) {
            if (lastEventId == null && breaksOff && eventId > PART_EVENTS) {
                output.write(chunk("id: $eventId\nda"))
                return false
            }
            output.write(chunk("id: $eventId\ndata: $version\n\n"))
        }
        output.write(chunk(""))
        return true
    }

    private fun header(
        head: List<String>,
        name: String,
    ): String? = head.firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()

    private fun chunk(text: String) = "${text.length.toString(HEXADECIMAL)}\r\n$text\r\n".encodeToByteArray()

    /** Runs [block] in a thread of its own until a socket is closed. */
    private fun startThread(block: () -> Unit) {
        thread(isDaemon = true) {
            try {
                block()
            } catch (_: IOException) {
                // The router or close() has closed the socket.
            }
        }
    }

    override fun close() {
        listener.close()
        connections.forEach { it.close() }
    }

    companion object {
        /** Number of events in a stream. */
        const val STREAM_EVENTS = 5

        /** Number of events in a stream that breaks off. */
        const val PART_EVENTS = 2
        private const val BACKLOG = 50
        private const val HEXADECIMAL = 16
    }
}
