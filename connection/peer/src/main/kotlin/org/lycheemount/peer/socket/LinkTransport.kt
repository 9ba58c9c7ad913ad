package org.lycheemount.peer.socket

import io.ktor.network.sockets.Socket

/** Turns a connected socket into a stream of bytes. */
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
