package org.lycheemount.peer.socket

import java.util.concurrent.atomic.AtomicLong

/** Number of bytes sent and received over all links of a process. */
class LinkTraffic {
    internal val sent = AtomicLong()
    internal val received = AtomicLong()

    /** Bytes written, including frame lengths. */
    val sentBytes: Long get() = sent.get()

    /** Bytes read, including frame lengths. */
    val receivedBytes: Long get() = received.get()
}

/** Reads and writes frames over a [ByteStream]. A frame is a four-byte length followed by a CBOR body. */
internal class FrameStream(
    private val stream: ByteStream,
    private val traffic: LinkTraffic,
) {
    private val lengthBytes = ByteArray(LENGTH_BYTES)

    /** Reads the next frame. Throws [LinkFailure] if it is malformed or longer than [maxBytes]. */
    suspend fun read(maxBytes: Int): WireFrame {
        readFully(lengthBytes)
        val length = lengthBytes.fold(0) { value, byte -> (value shl 8) or (byte.toInt() and 0xff) }
        if (length !in 1..maxBytes) throw LinkFailure("frame length $length is not in 1..$maxBytes")
        val body = ByteArray(length)
        readFully(body)
        return decodeFrame(body)
    }

    suspend fun write(body: ByteArray) {
        stream.write(lengthPrefix(body.size))
        stream.write(body)
        traffic.sent.addAndGet((body.size + LENGTH_BYTES).toLong())
    }

    suspend fun writeAndFlush(frame: WireFrame) {
        write(encodeFrame(frame))
        flush()
    }

    suspend fun flush() = stream.flush()

    fun close() = stream.close()

    private suspend fun readFully(buffer: ByteArray) {
        var offset = 0
        while (offset < buffer.size) {
            val count = stream.readSome(buffer, offset, buffer.size - offset)
            if (count < 0) throw LinkFailure("connection closed by peer")
            offset += count
        }
        traffic.received.addAndGet(buffer.size.toLong())
    }

    private companion object {
        private const val LENGTH_BYTES = 4
    }
}
