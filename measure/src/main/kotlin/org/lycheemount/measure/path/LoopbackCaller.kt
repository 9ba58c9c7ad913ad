package org.lycheemount.measure.path

import java.io.BufferedInputStream
import java.io.EOFException
import java.net.InetAddress
import java.net.Socket

/**
 * Blocking HTTP client with one keep-alive connection.
 * It does minimal work, so that the difference between calls to the router and to the engine is the cost of the router.
 */
internal class LoopbackCaller(
    private val port: Int,
) : AutoCloseable {
    private var socket: Socket? = null
    private var input: BufferedInputStream? = null

    /** Header fields of the last response by lower-case name. */
    var headers: Map<String, String> = emptyMap()
        private set

    /** Sends [request], reads the whole response and returns its status; [onFirstBodyByte] runs when the body begins to arrive. */
    fun call(
        request: ByteArray,
        onFirstBodyByte: () -> Unit = {},
    ): Int {
        val status = sendAndReadHead(request)
        if (headers["transfer-encoding"] == "chunked") {
            readChunkedBody(onFirstBodyByte)
        } else {
            readFixedLengthBody(headers.getValue("content-length").toInt(), onFirstBodyByte)
        }
        if (headers["connection"].equals("close", ignoreCase = true)) close()
        return status
    }

    /** Sends [request], reads only the head of the response and returns its status. */
    fun sendAndReadHead(request: ByteArray): Int {
        val connectedSocket = socket ?: Socket(InetAddress.getLoopbackAddress(), port).also { connect(it) }
        connectedSocket.getOutputStream().write(request)
        val status = readLine().split(' ')[1].toInt()
        headers =
            generateSequence { readLine().ifEmpty { null } }.associate { line ->
                line.substringBefore(':').lowercase() to line.substringAfter(':').trim()
            }
        return status
    }

    override fun close() {
        socket?.close()
        socket = null
    }

    private fun connect(newSocket: Socket) {
        newSocket.tcpNoDelay = true
        socket = newSocket
        input = newSocket.getInputStream().buffered()
    }

    private fun readFixedLengthBody(
        length: Int,
        onFirstBodyByte: () -> Unit,
    ) {
        if (length == 0) return
        readByte()
        onFirstBodyByte()
        if (checkNotNull(input).readNBytes(length - 1).size != length - 1) throw EOFException()
    }

    private fun readChunkedBody(onFirstBodyByte: () -> Unit) {
        var isFirstChunk = true
        while (true) {
            val length = readLine().toInt(radix = 16)
            if (isFirstChunk) onFirstBodyByte()
            isFirstChunk = false
            if (checkNotNull(input).readNBytes(length).size != length) throw EOFException()
            readLine()
            if (length == 0) return
        }
    }

    private fun readLine(): String =
        buildString {
            while (true) {
                val byte = readByte()
                if (byte == '\n'.code) return@buildString
                if (byte != '\r'.code) append(byte.toChar())
            }
        }

    private fun readByte(): Int = checkNotNull(input).read().also { if (it < 0) throw EOFException() }
}
