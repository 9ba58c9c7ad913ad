package org.lycheemount.app.router.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.scheduling.ColdStatement
import kotlin.random.Random

/**
 * Tells other routers which servers are cold, so that a router without the store limits its requests to them too.
 *
 * Most routers read the same rows at about the same time. Each tells what it did not hear from others to a few peers, which pass it on, so
 * the number of messages grows with the number of routers and not with its square.
 */
internal class PeerColdServerExchange(
    private val messenger: PeerMessenger,
    private val clock: Clock,
    private val eventLog: EventLog,
    private val random: Random = Random.Default,
) {
    /** Passes what peers tell to [monitor], and tells routers to which a link has opened which servers are cold. */
    fun start(
        scope: CoroutineScope,
        monitor: ColdServerMonitor,
    ) {
        messenger.register(channel) { from, payload ->
            decode(payload)?.let { message -> monitor.onPeerStatements(from.routerId, message.servers.map { it.toStatement() }) }
            null
        }
        scope.launch { tellNewPeers(monitor) }
    }

    /** Sends [statements] to some routers with an open link. */
    fun announce(statements: List<ColdStatement>) = send(messenger.connectedPeers().shuffled(random).take(MAX_RECEIVERS), statements)

    private suspend fun tellNewPeers(monitor: ColdServerMonitor) {
        var known = emptySet<RouterIdentity>()
        while (true) {
            val connected = messenger.connectedPeers().toSet()
            val added = connected - known
            val statements = if (added.isEmpty()) emptyList() else monitor.statements()
            if (statements.isNotEmpty()) send(added, statements)
            known = connected
            delay(PEER_CHECK_INTERVAL_MS)
        }
    }

    private fun send(
        peers: Collection<RouterIdentity>,
        statements: List<ColdStatement>,
    ) {
        val nowMs = clock.monotonicMs()
        for (part in statements.chunked(MAX_SERVERS)) {
            val entries = part.map { ColdEntry(it.backendServerId.value, it.vmId.value, it.endsAtMs - it.asOfMs, nowMs - it.asOfMs) }
            val payload = cbor.encodeToByteArray(ColdMessage.serializer(), ColdMessage(entries))
            peers.forEach { messenger.send(it.routerId, channel, payload) }
        }
    }

    private fun decode(payload: ByteArray): ColdMessage? =
        try {
            cbor.decodeFromByteArray(ColdMessage.serializer(), payload)
        } catch (exception: SerializationException) {
            eventLog.warn("peer_statement_unreadable", "channel" to channel.value, "error" to exception.message)
            null
        }

    private fun ColdEntry.toStatement(): ColdStatement {
        val asOfMs = clock.monotonicMs() - ageMs.coerceIn(0, MAX_TIME_MS)
        return ColdStatement(BackendServerId(backendServerId), VmId(vmId), asOfMs + remainingMs.coerceIn(0, MAX_TIME_MS), asOfMs)
    }

    private companion object {
        private const val PEER_CHECK_INTERVAL_MS = 500L

        // With eight receivers each, a message reaches all of some hundred routers in three steps with near certainty.
        private const val MAX_RECEIVERS = 8
        private const val MAX_SERVERS = 500
        private const val MAX_TIME_MS = 86_400_000L
        private val channel = PeerChannel("cold")
        private val cbor = Cbor { ignoreUnknownKeys = true }
    }
}

@Serializable
private data class ColdMessage(
    @SerialName("c") val servers: List<ColdEntry>,
)

/** Carries an age instead of a time of the table, so that it can also be read while the store is silent. */
@Serializable
private data class ColdEntry(
    @SerialName("s") val backendServerId: String,
    @SerialName("v") val vmId: String,
    @SerialName("r") val remainingMs: Long,
    @SerialName("a") val ageMs: Long,
)
