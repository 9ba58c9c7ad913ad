package org.lycheemount.peer.socket

import io.ktor.network.sockets.Socket
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.nio.ByteBuffer
import javax.net.ssl.SSLEngine
import javax.net.ssl.SSLEngineResult
import javax.net.ssl.SSLEngineResult.HandshakeStatus

/** Mutual TLS with an [SSLEngine], because Ktor's raw sockets support only the client side of TLS. */
internal class TlsTransport(
    private val tls: ReloadingTlsContext,
) : LinkTransport {
    override suspend fun open(
        socket: Socket,
        isClient: Boolean,
    ): ByteStream {
        val engine = if (isClient) tls.clientEngine() else tls.serverEngine(needClientCertificate = true)
        return TlsByteStream(PlainByteStream(socket), engine).also { it.handshake() }
    }
}

internal class TlsByteStream(
    private val plain: ByteStream,
    private val engine: SSLEngine,
) : ByteStream {
    private val wrapLock = Mutex()
    private val outgoing = ByteBuffer.allocate(engine.session.packetBufferSize)
    private val incoming = ByteBuffer.allocate(engine.session.packetBufferSize * 2).apply { flip() }
    private var decrypted: ByteBuffer = ByteBuffer.allocate(engine.session.applicationBufferSize * 2).apply { flip() }

    suspend fun handshake() {
        engine.beginHandshake()
        while (true) {
            when (engine.handshakeStatus) {
                HandshakeStatus.NEED_WRAP -> wrapAndFlush(EMPTY)
                HandshakeStatus.NEED_UNWRAP, HandshakeStatus.NEED_UNWRAP_AGAIN -> unwrapOnce()
                HandshakeStatus.NEED_TASK -> runDelegatedTasks()
                else -> return
            }
        }
    }

    override suspend fun readSome(
        buffer: ByteArray,
        offset: Int,
        length: Int,
    ): Int {
        while (!decrypted.hasRemaining()) {
            if (!unwrapOnce()) return -1
            // Key updates and session tickets after the handshake may require delegated tasks or a response.
            runDelegatedTasks()
            if (engine.handshakeStatus == HandshakeStatus.NEED_WRAP) wrapAndFlush(EMPTY)
        }
        val count = minOf(length, decrypted.remaining())
        decrypted.get(buffer, offset, count)
        return count
    }

    override suspend fun write(bytes: ByteArray) {
        val source = ByteBuffer.wrap(bytes)
        wrapLock.withLock { while (source.hasRemaining()) wrapOnce(source) }
    }

    override suspend fun flush() = plain.flush()

    override fun close() {
        runCatching { engine.closeOutbound() }
        plain.close()
    }

    private suspend fun wrapAndFlush(source: ByteBuffer) {
        wrapLock.withLock { wrapOnce(source) }
        plain.flush()
    }

    private suspend fun wrapOnce(source: ByteBuffer) {
        outgoing.clear()
        val result = engine.wrap(source, outgoing)
        if (result.status == SSLEngineResult.Status.CLOSED) throw LinkFailure("TLS is closed")
        outgoing.flip()
        if (outgoing.hasRemaining()) plain.write(ByteArray(outgoing.remaining()).also { outgoing.get(it) })
    }

    /** Decrypts a record; returns false at the end of the stream. */
    private suspend fun unwrapOnce(): Boolean {
        while (true) {
            decrypted.compact()
            val result = engine.unwrap(incoming, decrypted)
            decrypted.flip()
            when (result.status) {
                SSLEngineResult.Status.OK -> return true
                SSLEngineResult.Status.CLOSED -> return false
                SSLEngineResult.Status.BUFFER_OVERFLOW -> throw LinkFailure("TLS record is larger than the buffer")
                else -> if (!readRecordBytes()) return false
            }
        }
    }

    private suspend fun readRecordBytes(): Boolean {
        val chunk = ByteArray(READ_CHUNK_BYTES)
        incoming.compact()
        val count = plain.readSome(chunk, 0, minOf(chunk.size, incoming.remaining()))
        if (count > 0) incoming.put(chunk, 0, count)
        incoming.flip()
        if (count < 0 && engine.handshakeStatus != HandshakeStatus.NOT_HANDSHAKING) throw LinkFailure("closed during the TLS handshake")
        return count > 0
    }

    private fun runDelegatedTasks() {
        while (engine.handshakeStatus == HandshakeStatus.NEED_TASK) engine.delegatedTask?.run() ?: return
    }

    private companion object {
        private const val READ_CHUNK_BYTES = 16_384
        private val EMPTY = ByteBuffer.allocate(0)
    }
}
