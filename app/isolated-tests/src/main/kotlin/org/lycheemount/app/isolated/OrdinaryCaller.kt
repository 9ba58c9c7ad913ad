package org.lycheemount.app.isolated

import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket

/** Sends requests as callers that keep to the protocol do, each on a new connection to [address]. */
class OrdinaryCaller(
    private val address: InetSocketAddress,
) {
    /** Whether one of the requests with [request] is answered with 200 before the deadline, which only a permanent hang exceeds. */
    fun awaitServed(request: ByteArray): Boolean {
        val deadlineNs = System.nanoTime() + TIMEOUT_MS * NANOS_PER_MS
        while (System.nanoTime() < deadlineNs) {
            if (statusOf(request) == OK) return true
            Thread.sleep(RETRY_INTERVAL_MS)
        }
        return false
    }

    /** Status of the response to [request]; null without a response. */
    private fun statusOf(request: ByteArray): Int? =
        try {
            Socket().use { socket ->
                socket.soTimeout = RESPONSE_TIMEOUT_MS
                socket.connect(address, RESPONSE_TIMEOUT_MS)
                socket.getOutputStream().write(request)
                readResponse(socket.getInputStream())
            }
        } catch (failure: IOException) {
            // Without a response, the request is sent again, as for a status other than 200.
            null
        }

    private companion object {
        private const val TIMEOUT_MS = 60_000L
        private const val RESPONSE_TIMEOUT_MS = 10_000
        private const val RETRY_INTERVAL_MS = 200L
        private const val NANOS_PER_MS = 1_000_000L
        private const val OK = 200
    }
}

/** Reads a response whose body has a length from [input], and returns its status; null if it ends before that. */
internal fun readResponse(input: InputStream): Int? {
    val head = readHead(input) ?: return null
    val lengthBytes =
        head
            .firstOrNull { it.startsWith("content-length:", ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()
            ?.toInt() ?: 0
    if (input.readNBytes(lengthBytes).size < lengthBytes) return null
    return head.first().split(' ')[1].toInt()
}

private fun readHead(input: InputStream): List<String>? {
    val lines = ArrayList<String>()
    val line = StringBuilder()
    while (true) {
        val byte = input.read()
        if (byte < 0) return null
        if (byte != '\n'.code) {
            line.append(byte.toChar())
            continue
        }
        val text = line.toString().trimEnd('\r')
        if (text.isEmpty()) return lines
        lines += text
        line.clear()
    }
}
