package org.lycheemount.app.router.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.ZoneId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.platform.adapter.MAX_ZONE_NAME_CHARS
import org.lycheemount.scheduling.ZoneStatement
import java.util.concurrent.ConcurrentHashMap

/**
 * Tells the other routers which zones are evacuated, for those that cannot read it in the store: each change, all that is known to a router
 * to which a link has opened, and the newer statement to a router that has sent an outdated one.
 */
internal class PeerEvacuationExchange(
    private val messenger: PeerMessenger,
    private val clock: Clock,
    private val eventLog: EventLog,
) {
    /** Peers of which an unreadable message has been logged. */
    private val rejectedPeers: MutableSet<RouterIdentity> = ConcurrentHashMap.newKeySet()

    /** Passes what peers tell to [evacuations], and tells routers to which a link has opened what it knows. */
    fun start(
        scope: CoroutineScope,
        evacuations: ZoneEvacuationState,
    ) {
        messenger.register(channel) { from, payload ->
            decode(from, payload)?.let { send(listOf(from), evacuations.onPeerStatements(from.routerId, it)) }
            null
        }
        scope.launch { tellNewPeers(evacuations) }
    }

    /** Sends [statements] to all routers with an open link. */
    fun announce(statements: List<ZoneStatement>) = send(messenger.connectedPeers(), statements)

    private suspend fun tellNewPeers(evacuations: ZoneEvacuationState) {
        var known = emptySet<RouterIdentity>()
        while (true) {
            val connected = messenger.connectedPeers().toSet()
            val added = connected - known
            if (added.isNotEmpty()) send(added, evacuations.statements())
            known = connected
            delay(PEER_CHECK_INTERVAL_MS)
        }
    }

    private fun send(
        peers: Collection<RouterIdentity>,
        statements: List<ZoneStatement>,
    ) {
        for (part in statements.chunked(MAX_ENTRIES)) {
            val message = EvacuationMessage(part.map { it.toEntry() })
            val payload = cbor.encodeToByteArray(EvacuationMessage.serializer(), message)
            peers.forEach { messenger.send(it.routerId, channel, payload) }
        }
    }

    private fun ZoneStatement.toEntry() = EvacuationEntry(zoneId.value, isEvacuated, version, clock.monotonicMs() - asOfMs, era)

    private fun EvacuationEntry.toStatement() =
        ZoneStatement(ZoneId(zone), isEvacuated, version, asOfMs = clock.monotonicMs() - maxOf(0, ageMs), era)

    private fun decode(
        from: RouterIdentity,
        payload: ByteArray,
    ): List<ZoneStatement>? {
        val entries =
            try {
                cbor.decodeFromByteArray(EvacuationMessage.serializer(), payload).entries
            } catch (exception: SerializationException) {
                return rejected(from, exception.message)
            }
        if (entries.size > MAX_ENTRIES) return rejected(from, "entries: ${entries.size}, at most $MAX_ENTRIES are allowed")
        if (entries.any { it.zone.isBlank() || it.zone.length > MAX_ZONE_NAME_CHARS }) return rejected(from, "zone: no valid name")
        return entries.map { it.toStatement() }
    }

    private fun rejected(
        from: RouterIdentity,
        error: String?,
    ): List<ZoneStatement>? {
        if (rejectedPeers.add(from)) {
            eventLog.warn("peer_statement_unreadable", "channel" to channel.value, "peer" to from.routerId.value, "error" to error)
        }
        return null
    }

    private companion object {
        private const val PEER_CHECK_INTERVAL_MS = 500L

        // A region has tens of zones. A router that knows of more sends several messages.
        private const val MAX_ENTRIES = 64
        private val channel = PeerChannel("evacuation")
        private val cbor = Cbor { ignoreUnknownKeys = true }
    }
}

@Serializable
private data class EvacuationMessage(
    @SerialName("e") val entries: List<EvacuationEntry>,
)

/** Carries an age instead of a time, since the clocks of routers differ. Routers of earlier releases send no era and ignore it. */
@Serializable
private data class EvacuationEntry(
    @SerialName("z") val zone: String,
    @SerialName("e") val isEvacuated: Boolean,
    @SerialName("v") val version: Long,
    @SerialName("a") val ageMs: Long,
    @SerialName("s") val era: Long? = null,
)
