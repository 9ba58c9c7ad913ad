package org.lycheemount.app.router.gateway

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/**
 * Requests configurations from peers, and hands the active one over to peers that have an older one.
 *
 * @param document returns the active configuration, or null before the first.
 */
internal class PeerConfigurationExchange(
    private val messenger: PeerMessenger,
    private val eventLog: EventLog,
    private val document: () -> ConfigurationDocument?,
) {
    /** Reply to the requests for the active configuration, kept for the next one. */
    @Volatile
    private var preparedReply: PreparedReply? = null

    /** Peers of which an unreadable request has been logged. */
    private val rejectedPeers: MutableSet<RouterIdentity> = ConcurrentHashMap.newKeySet()

    /** Starts to answer requests of peers. */
    fun start() {
        messenger.register(channel) { from, payload -> onRequest(from, payload) }
    }

    /** Returns the configuration of [peer], or null if it has none newer than [version] or does not reply in time. */
    suspend fun request(
        peer: RouterId,
        version: Long,
    ): ByteArray? {
        val payload = cbor.encodeToByteArray(ConfigurationRequest.serializer(), ConfigurationRequest(version))
        val reply = messenger.call(peer, channel, payload, CALL_TIMEOUT_MS) as? PeerReply.Received ?: return null
        return try {
            cbor.decodeFromByteArray(ConfigurationReply.serializer(), reply.payload).compressedValue?.let(::decompress)
        } catch (malformed: Exception) {
            rejected(peer, malformed.message)
        }
    }

    private fun onRequest(
        from: RouterIdentity,
        payload: ByteArray,
    ): ByteArray? {
        val request =
            try {
                cbor.decodeFromByteArray(ConfigurationRequest.serializer(), payload)
            } catch (malformed: Exception) {
                if (rejectedPeers.add(from)) rejected(from.routerId, malformed.message)
                return null
            }
        val newer = document()?.takeIf { it.version > request.version } ?: return emptyReply
        return prepareReply(newer)
    }

    @Synchronized
    private fun prepareReply(newer: ConfigurationDocument): ByteArray {
        preparedReply?.let { if (it.version == newer.version) return it.payload }
        val compressed = compress(newer.value)
        val isSent = newer.value.size <= MAX_BYTES && compressed.size <= MAX_COMPRESSED_BYTES
        if (!isSent) {
            eventLog.warn(
                "configuration_too_large_for_peers",
                "version" to newer.version,
                "bytes" to newer.value.size,
                "compressed_bytes" to compressed.size,
            )
        }
        val payload = if (isSent) encodeReply(compressed) else emptyReply
        preparedReply = PreparedReply(newer.version, payload)
        return payload
    }

    private fun rejected(
        peer: RouterId,
        error: String?,
    ): ByteArray? {
        eventLog.warn("peer_statement_unreadable", "channel" to channel.value, "peer" to peer.value, "error" to error)
        return null
    }

    private fun compress(value: ByteArray): ByteArray {
        val output = ByteArrayOutputStream()
        GZIPOutputStream(output).use { it.write(value) }
        return output.toByteArray()
    }

    private fun decompress(compressed: ByteArray): ByteArray {
        val value = GZIPInputStream(compressed.inputStream()).use { it.readNBytes(MAX_BYTES + 1) }
        if (value.size > MAX_BYTES) throw IOException("more than $MAX_BYTES bytes")
        return value
    }

    private class PreparedReply(
        val version: Long,
        val payload: ByteArray,
    )

    private companion object {
        private const val CALL_TIMEOUT_MS = 2_000L
        private const val MAX_BYTES = 4 shl 20

        // A reply has to fit into one frame of a peer link.
        private const val MAX_COMPRESSED_BYTES = 768 shl 10
        private val channel = PeerChannel("configuration")
        private val cbor = Cbor { ignoreUnknownKeys = true }
        private val emptyReply = encodeReply(null)

        private fun encodeReply(compressedValue: ByteArray?) =
            cbor.encodeToByteArray(ConfigurationReply.serializer(), ConfigurationReply(compressedValue))
    }
}

/** Asks for a configuration that is newer than [version]. */
@Serializable
private class ConfigurationRequest(
    @SerialName("v") val version: Long,
)

/** @property compressedValue the row of the configuration, compressed with gzip; null if the peer has none that is newer. */
@Serializable
private class ConfigurationReply(
    @SerialName("d") @ByteString val compressedValue: ByteArray? = null,
)
