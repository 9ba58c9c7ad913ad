package org.lycheemount.peer.socket

import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Secret shared by the routers of a fleet. [toString] does not reveal it. */
class PeerSecret(
    secret: ByteArray,
) {
    private val key = SecretKeySpec(secret.copyOf(), ALGORITHM)

    init {
        require(secret.size >= MIN_SECRET_BYTES) { "the peer secret must have at least $MIN_SECRET_BYTES bytes" }
    }

    /** Returns the HMAC of [parts]. Each part is prefixed with its length, so that different lists of parts cannot collide. */
    internal fun sign(parts: List<ByteArray>): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(key)
        for (part in parts) {
            mac.update(lengthPrefix(part.size))
            mac.update(part)
        }
        return mac.doFinal()
    }

    override fun toString(): String = "PeerSecret(hidden)"

    private companion object {
        private const val ALGORITHM = "HmacSHA256"
        private const val MIN_SECRET_BYTES = 16
    }
}

internal fun lengthPrefix(length: Int): ByteArray =
    byteArrayOf((length ushr 24).toByte(), (length ushr 16).toByte(), (length ushr 8).toByte(), length.toByte())
