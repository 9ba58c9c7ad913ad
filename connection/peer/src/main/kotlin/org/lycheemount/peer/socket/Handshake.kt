package org.lycheemount.peer.socket

import org.lycheemount.common.RouterIdentity
import java.security.MessageDigest
import java.security.SecureRandom

private const val PROTOCOL_VERSION = 1
private const val NONCE_BYTES = 32

// Enough for an identity, a nonce and a proof. An unauthenticated peer cannot make this router read more.
private const val MAX_HANDSHAKE_FRAME_BYTES = 4096
private val acceptorLabel = "lycheemount acceptor".toByteArray()
private val dialerLabel = "lycheemount dialer".toByteArray()

/**
 * Mutual authentication of a new connection. Each side proves that it knows the secret by an HMAC over both nonces and both
 * identities. The HMAC includes a label for the role of the side, so that a proof cannot be reflected to its sender.
 */
internal class Handshake(
    private val self: RouterIdentity,
    private val secret: () -> PeerSecret,
) {
    /** Runs the handshake as the dialer until it has sent its proof. The link is usable once [awaitReady] returns. */
    suspend fun dial(
        frames: FrameStream,
        endpoint: PeerEndpoint,
    ): RouterIdentity {
        val nonce = newNonce()
        frames.writeAndFlush(WireFrame.Hello(PROTOCOL_VERSION, self, endpoint.routerId, nonce))
        val challenge = frames.read(MAX_HANDSHAKE_FRAME_BYTES) as? WireFrame.Challenge ?: fail("expected a challenge")
        requireVersion(challenge.protocolVersion)
        val transcript = Transcript(dialer = self, acceptor = challenge.from, dialerNonce = nonce, acceptorNonce = challenge.nonce)
        requireProof(transcript.sign(acceptorLabel), challenge.proof)
        val peer = challenge.from
        if (peer.routerId != endpoint.routerId || peer.vmId != endpoint.vmId) {
            fail("expected ${endpoint.routerId.value} on ${endpoint.vmId.value}, found ${peer.routerId.value} on ${peer.vmId.value}")
        }
        frames.writeAndFlush(WireFrame.Proof(transcript.sign(dialerLabel)))
        return peer
    }

    suspend fun awaitReady(frames: FrameStream) {
        if (frames.read(MAX_HANDSHAKE_FRAME_BYTES) !is WireFrame.Ready) fail("expected ready")
    }

    /**
     * Runs the handshake as the acceptor until the dialer's proof is verified. The caller then sends [WireFrame.Ready].
     *
     * @param onHello called when a valid hello has been read.
     */
    suspend fun accept(
        frames: FrameStream,
        onHello: () -> Unit,
    ): RouterIdentity {
        val hello = frames.read(MAX_HANDSHAKE_FRAME_BYTES) as? WireFrame.Hello ?: fail("expected a hello")
        requireVersion(hello.protocolVersion)
        if (hello.to != self.routerId) fail("hello is for ${hello.to.value}")
        if (hello.nonce.size != NONCE_BYTES) fail("nonce of ${hello.nonce.size} bytes")
        onHello()
        val nonce = newNonce()
        val transcript = Transcript(dialer = hello.from, acceptor = self, dialerNonce = hello.nonce, acceptorNonce = nonce)
        frames.writeAndFlush(WireFrame.Challenge(PROTOCOL_VERSION, self, nonce, transcript.sign(acceptorLabel)))
        val proof = frames.read(MAX_HANDSHAKE_FRAME_BYTES) as? WireFrame.Proof ?: fail("expected a proof")
        requireProof(transcript.sign(dialerLabel), proof.proof)
        return hello.from
    }

    private fun requireVersion(version: Int) {
        if (version != PROTOCOL_VERSION) fail("protocol version $version, expected $PROTOCOL_VERSION")
    }

    private fun requireProof(
        expected: ByteArray,
        actual: ByteArray,
    ) {
        if (!MessageDigest.isEqual(expected, actual)) fail("proof does not match")
    }

    private fun newNonce() = ByteArray(NONCE_BYTES).also { random.nextBytes(it) }

    private fun fail(reason: String): Nothing = throw LinkFailure("handshake: $reason")

    private inner class Transcript(
        private val dialer: RouterIdentity,
        private val acceptor: RouterIdentity,
        private val dialerNonce: ByteArray,
        private val acceptorNonce: ByteArray,
    ) {
        fun sign(label: ByteArray): ByteArray =
            secret().sign(listOf(label, dialerNonce, acceptorNonce, encodeIdentity(dialer), encodeIdentity(acceptor)))
    }

    private companion object {
        private val random = SecureRandom()
    }
}
