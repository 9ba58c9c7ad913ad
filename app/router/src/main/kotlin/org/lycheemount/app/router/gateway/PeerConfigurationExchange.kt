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

/** Answer of a peer that was asked for its configuration. */
internal sealed interface PeerConfiguration {
    /** The peer has a newer configuration, whose row is [value]. */
    class Newer(
        val value: ByteArray,
    ) : PeerConfiguration

    /** The peer has a configuration, which is not newer. */
    data object NotNewer : PeerConfiguration

    /** The peer has no configuration, has one that is too large, or has not replied in time. */
    data object Unknown : PeerConfiguration
}

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
    ): ByteArray? = (ask(peer, version) as? PeerConfiguration.Newer)?.value

    /** Asks [peer] for its configuration if that is newer than [version]. */
    suspend fun ask(
        peer: RouterId,
        version: Long,
    ): PeerConfiguration {
        val payload = cbor.encodeToByteArray(ConfigurationRequest.serializer(), ConfigurationRequest(version))
        val reply = messenger.call(peer, channel, payload, CALL_TIMEOUT_MS) as? PeerReply.Received ?: return PeerConfiguration.Unknown
        return try {
            decode(reply.payload)
        } catch (malformed: Exception) {
            logUnreadable(peer, malformed.message)
            PeerConfiguration.Unknown
        }
    }

    private fun decode(payload: ByteArray): PeerConfiguration {
        val reply = cbor.decodeFromByteArray(ConfigurationReply.serializer(), payload)
        return when {
            reply.compressedValue != null -> PeerConfiguration.Newer(decompress(reply.compressedValue))
            reply.isNotNewer -> PeerConfiguration.NotNewer
            else -> PeerConfiguration.Unknown
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
                if (rejectedPeers.add(from)) logUnreadable(from.routerId, malformed.message)
                return null
            }
        val active = document() ?: return emptyReply
        return if (active.version > request.version) prepareReply(active) else notNewerReply
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
        val payload = if (isSent) encodeReply(ConfigurationReply(compressed)) else emptyReply
        preparedReply = PreparedReply(newer.version, payload)
        return payload
    }

    private fun logUnreadable(
        peer: RouterId,
        error: String?,
    ) = eventLog.warn("peer_statement_unreadable", "channel" to channel.value, "peer" to peer.value, "error" to error)

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
        private val emptyReply = encodeReply(ConfigurationReply())
        private val notNewerReply = encodeReply(ConfigurationReply(isNotNewer = true))

        private fun encodeReply(reply: ConfigurationReply) = cbor.encodeToByteArray(ConfigurationReply.serializer(), reply)
    }
}

/** Asks for a configuration that is newer than [version]. */
@Serializable
private class ConfigurationRequest(
    @SerialName("v") val version: Long,
)

/**
 * @property compressedValue the row of the configuration, compressed with gzip; null if the peer has none that is newer and not too large.
 * @property isNotNewer whether the peer has a configuration that is not newer. Peers of an earlier release do not say so.
 */
@Serializable
private class ConfigurationReply(
    @SerialName("d") @ByteString val compressedValue: ByteArray? = null,
    @SerialName("n") val isNotNewer: Boolean = false,
)
