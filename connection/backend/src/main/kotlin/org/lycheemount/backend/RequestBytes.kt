package org.lycheemount.backend

import java.nio.ByteBuffer

/**
 * The bytes of a request in pieces. The first one holds the head and the beginning of the body, so that a short request is one write; the
 * JVM copies each piece that is written, which limits their size.
 */
internal class RequestBytes(
    head: ByteArray,
    private val body: ByteArray,
) {
    private var bodyOffset = minOf(body.size, maxOf(0, PIECE_BYTES - head.size))
    private var piece =
        ByteBuffer
            .allocate(head.size + bodyOffset)
            .put(head)
            .put(body, 0, bodyOffset)
            .flip()

    /** Returns the next bytes that have not been written yet, or null at the end. */
    fun remaining(): ByteBuffer? {
        if (piece.hasRemaining()) return piece
        if (bodyOffset == body.size) return null
        val count = minOf(body.size - bodyOffset, PIECE_BYTES)
        piece = ByteBuffer.wrap(body, bodyOffset, count)
        bodyOffset += count
        return piece
    }

    internal companion object {
        const val PIECE_BYTES = 65_536
    }
}
