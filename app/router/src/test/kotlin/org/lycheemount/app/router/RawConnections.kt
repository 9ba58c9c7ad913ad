package org.lycheemount.app.router

import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.TimeUnit

/** Opens a connection to [address] without sending anything. */
internal fun openConnection(address: InetSocketAddress) =
    Socket().apply {
        connect(address)
        soTimeout = READ_TIMEOUT_MS
    }

/**
 * Waits until the server has closed all but [maxOpen] of [sockets], on which it has not sent anything, and returns the number of those
 * that are open. Gives up after a minute.
 */
internal fun awaitOpenCount(
    sockets: List<Socket>,
    maxOpen: Int,
): Int {
    val endsAtNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_TIMEOUT_MS.toLong())
    while (true) {
        val openCount = sockets.count { !it.isClosedByServer() }
        if (openCount <= maxOpen || System.nanoTime() >= endsAtNs) return openCount
    }
}

private fun Socket.isClosedByServer(): Boolean {
    soTimeout = SHORT_TIMEOUT_MS
    return try {
        getInputStream().read() < 0
    } catch (_: SocketTimeoutException) {
        false
    } catch (_: IOException) {
        true
    }
}

/** Sends a request for [path] on a new connection to [address], and returns the status of the response. */
internal fun fetchStatus(
    address: InetSocketAddress,
    path: String,
): Int =
    openConnection(address).use { socket ->
        socket.getOutputStream().write("GET $path HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encodeToByteArray())
        socket
            .getInputStream()
            .bufferedReader()
            .readLine()
            .split(' ')[1]
            .toInt()
    }

private const val READ_TIMEOUT_MS = 60_000
private const val SHORT_TIMEOUT_MS = 20
