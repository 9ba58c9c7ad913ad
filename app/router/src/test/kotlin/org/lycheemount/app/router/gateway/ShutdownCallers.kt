package org.lycheemount.app.router.gateway

import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.random.Random

/** One request on a connection and how it ended. */
internal data class CallerExchange(
    val path: String,
    val sentAtMs: Long,
    val durationMs: Long,
    val outcome: String,
) {
    /** Whether at least the status line of a response has arrived. */
    val hasResponse: Boolean get() = outcome.startsWith(STATUS_LINE_START)

    companion object {
        const val STATUS_LINE_START = "HTTP/1.1 "
    }
}

/** Callers of a gateway on [address] that is about to stop. [random] decides when they send their requests. */
internal class ShutdownCallers(
    address: String,
    private val random: Random,
) {
    private val address = socketAddressOf(address)
    private val exchanges = ConcurrentLinkedQueue<CallerExchange>()
    private val threads = ArrayList<Thread>()
    private val startedAtMs = nowMs()

    @Volatile
    private var isEnded = false

    /** Waits until a request is answered with 200. */
    fun awaitReady(timeoutMs: Long) {
        val giveUpAtMs = nowMs() + timeoutMs
        while (true) {
            try {
                if ("200" in connect().use { exchange(it, "/plain/").outcome }) return
            } catch (_: IOException) {
                // The listener is not open yet.
            }
            check(nowMs() < giveUpAtMs) { "the gateway was not ready within $timeoutMs ms" }
            Thread.sleep(RETRY_DELAY_MS)
        }
    }

    /**
     * Opens [connections] connections that send one request each, at random times in the next [spanMs] milliseconds. Others open a new
     * connection for each request.
     */
    fun start(
        connections: Int,
        spanMs: Long,
        hasStream: Boolean,
    ) {
        if (hasStream) threads += thread { connect().use { readToEnd(it, "/endless/") } }
        repeat(connections) {
            val socket = connect()
            exchange(socket, "/plain/")
            val delayMs = random.nextLong(spanMs)
            threads +=
                thread {
                    Thread.sleep(delayMs)
                    socket.use { exchanges += exchange(it, "/plain/") }
                }
        }
        threads += thread { while (!isEnded) useNewConnection() }
    }

    /** Waits for the callers and returns what became of their requests. */
    fun end(): List<CallerExchange> {
        isEnded = true
        threads.forEach { it.join() }
        return exchanges.toList()
    }

    private fun useNewConnection() {
        try {
            connect().use { exchanges += exchange(it, "/plain/") }
        } catch (_: IOException) {
            // A refused connection has no effect.
        }
        Thread.sleep(RETRY_DELAY_MS)
    }

    private fun connect() = Socket().apply { connect(address) }

    /** Sends a request and waits for its status line or the end of the connection. */
    private fun exchange(
        socket: Socket,
        path: String,
    ): CallerExchange {
        val sentAtMs = nowMs()
        val outcome =
            try {
                socket.getOutputStream().write(callerRequest(path))
                readHead(socket)
            } catch (failure: IOException) {
                failure.message.orEmpty()
            }
        return CallerExchange(path, sentAtMs - startedAtMs, nowMs() - sentAtMs, outcome.substringBefore("\r\n"))
    }

    private fun readToEnd(
        socket: Socket,
        path: String,
    ) {
        exchange(socket, path)
        try {
            socket.getInputStream().readAllBytes()
        } catch (_: IOException) {
            // The gateway aborts the stream.
        }
    }

    private fun readHead(socket: Socket): String {
        val input = socket.getInputStream()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) throw IOException("closed after ${head.length} bytes")
            head.append(byte.toChar())
        }
        input.readNBytes(CONTENT_LENGTH.find(head)?.let { it.groupValues[1].toInt() } ?: 0)
        return head.toString()
    }

    private fun nowMs() = System.nanoTime() / 1_000_000

    private companion object {
        private const val RETRY_DELAY_MS = 20L
        private val CONTENT_LENGTH = Regex("content-length: *([0-9]+)", RegexOption.IGNORE_CASE)
    }
}
