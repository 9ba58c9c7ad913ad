package org.lycheemount.peer.socket

import io.ktor.network.sockets.Socket

/** Opens a byte stream over a connected socket. */
internal interface LinkTransport {
    suspend fun open(
        socket: Socket,
        isClient: Boolean,
    ): ByteStream
}

internal class PlainTransport : LinkTransport {
    override suspend fun open(
        socket: Socket,
        isClient: Boolean,
    ): ByteStream = PlainByteStream(socket)
}
