package org.lycheemount.measure.path

import java.io.BufferedInputStream
import java.io.EOFException
import java.net.InetAddress
import java.net.Socket

/**
 * Blocking HTTP caller with one kept connection. It does as little as possible, so that the same caller in front of
 * the router and of the engine leaves the difference to the router.
 */
internal class LoopbackCaller(
    private val port: Int,
) : AutoCloseable {
    private var socket: Socket? = null
    private var input: BufferedInputStream? = null

    /** Header fields of the last answer, names in lower case. */
    var headers: Map<String, String> = emptyMap()
        private set

    /** Sends [request] and reads the whole answer; [onBody] runs when the first byte of the body is there. */
    fun call(
        request: ByteArray,
        onBody: () -> Unit = {},
    ): Int {
        val status = open(request)
        if (headers["transfer-encoding"] == "chunked") readChunks(onBody) else readFixed(headers.getValue("content-length").toInt(), onBody)
        if (headers["connection"].equals("close", ignoreCase = true)) close()
        return status
    }

    /** Sends [request] and returns the status once the head of the answer has come. */
    fun open(request: ByteArray): Int {
        val connection = socket ?: Socket(InetAddress.getLoopbackAddress(), port).also { connect(it) }
        connection.getOutputStream().write(request)
        val status = readLine().split(' ')[1].toInt()
        headers =
            generateSequence { readLine().ifEmpty { null } }.associate {
                it.substringBefore(':').lowercase() to
                    it.substringAfter(':').trim()
            }
        return status
    }

    override fun close() {
        socket?.close()
        socket = null
    }

    private fun connect(connection: Socket) {
        connection.tcpNoDelay = true
        socket = connection
        input = connection.getInputStream().buffered()
    }

    private fun readFixed(
        length: Int,
        onBody: () -> Unit,
    ) {
        if (length == 0) return
        read()
        onBody()
        if (checkNotNull(input).readNBytes(length - 1).size != length - 1) throw EOFException()
    }

    private fun readChunks(onBody: () -> Unit) {
        var first = true
        while (true) {
            val length = readLine().toInt(radix = 16)
            if (first) onBody()
            first = false
            if (checkNotNull(input).readNBytes(length).size != length) throw EOFException()
            readLine()
            if (length == 0) return
        }
    }

    private fun readLine(): String =
        buildString {
            while (true) {
                val byte = read()
                if (byte == '\n'.code) return@buildString
                if (byte != '\r'.code) append(byte.toChar())
            }
        }

    private fun read(): Int = checkNotNull(input).read().also { if (it < 0) throw EOFException() }
}
