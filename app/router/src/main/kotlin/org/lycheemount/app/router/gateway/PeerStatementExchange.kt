package org.lycheemount.app.router.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.lycheemount.caller.routed.ServerStatements
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.scheduling.LeavingStatement
import org.lycheemount.scheduling.RequestLimitStatement

/**
 * Tells the other routers what servers say about themselves, so that they need not ask the servers: that a server names a request limit,
 * changes or ends it, and that it leaves. Messages may be lost: a router that misses one learns it from the server, or keeps for a while to
 * a limit that has ended.
 *
 * @param tableTimeOffsetMs clock of the table minus the monotonic clock of this router; null while it is unknown.
 */
internal class PeerStatementExchange(
    private val messenger: PeerMessenger,
    private val clock: Clock,
    private val eventLog: EventLog,
    private val tableTimeOffsetMs: () -> Long?,
) {
    /** Passes what peers tell to [statements], and tells routers to which a link has opened which servers leave. */
    fun start(
        scope: CoroutineScope,
        statements: ServerStatements,
    ) {
        messenger.register(limitChannel) { from, payload ->
            decode(limitChannel, LimitMessage.serializer(), payload)?.toStatement()?.let { statements.onPeerStatement(from.routerId, it) }
            null
        }
        messenger.register(leavingChannel) { from, payload ->
            decode(leavingChannel, LeavingMessage.serializer(), payload)?.let { statements.onPeerLeaving(from.routerId, it.toStatement()) }
            null
        }
        scope.launch { tellNewPeers(statements) }
    }

    /** Sends [statement] to all routers with an open link. */
    fun announce(statement: RequestLimitStatement) {
        val offsetMs = tableTimeOffsetMs() ?: return
        val message = statement.run { LimitMessage(backendServerId.value, vmId.value, requestsPerS, asOfMs + offsetMs) }
        send(messenger.connectedPeers(), limitChannel, cbor.encodeToByteArray(LimitMessage.serializer(), message))
    }

    /** Sends [statement] to all routers with an open link. */
    fun announceLeaving(statement: LeavingStatement) = sendLeaving(messenger.connectedPeers(), statement)

    private suspend fun tellNewPeers(statements: ServerStatements) {
        var known = emptySet<RouterIdentity>()
        while (true) {
            val connected = messenger.connectedPeers().toSet()
            val added = connected - known
            if (added.isNotEmpty()) statements.leavingStatements().forEach { sendLeaving(added, it) }
            known = connected
            delay(PEER_CHECK_INTERVAL_MS)
        }
    }

    private fun sendLeaving(
        peers: Collection<RouterIdentity>,
        statement: LeavingStatement,
    ) {
        val message = statement.run { LeavingMessage(backendServerId.value, vmId.value, isLeaving, clock.monotonicMs() - asOfMs) }
        send(peers, leavingChannel, cbor.encodeToByteArray(LeavingMessage.serializer(), message))
    }

    private fun send(
        peers: Collection<RouterIdentity>,
        channel: PeerChannel,
        payload: ByteArray,
    ) = peers.forEach { messenger.send(it.routerId, channel, payload) }

    private fun LimitMessage.toStatement(): RequestLimitStatement? {
        val offsetMs = tableTimeOffsetMs() ?: return null
        val asOfMs = minOf(clock.monotonicMs(), asOfTableTimeMs - offsetMs)
        return RequestLimitStatement(BackendServerId(backendServerId), VmId(vmId), requestsPerS, asOfMs)
    }

    private fun LeavingMessage.toStatement() =
        LeavingStatement(BackendServerId(backendServerId), VmId(vmId), isLeaving, asOfMs = clock.monotonicMs() - maxOf(0, ageMs))

    private fun <T : Any> decode(
        channel: PeerChannel,
        serializer: KSerializer<T>,
        payload: ByteArray,
    ): T? =
        try {
            cbor.decodeFromByteArray(serializer, payload)
        } catch (exception: SerializationException) {
            eventLog.warn("peer_statement_unreadable", "channel" to channel.value, "error" to exception.message)
            null
        }

    private companion object {
        private const val PEER_CHECK_INTERVAL_MS = 500L
        private val limitChannel = PeerChannel("limit")
        private val leavingChannel = PeerChannel("leaving")
        private val cbor = Cbor { ignoreUnknownKeys = true }
    }
}

@Serializable
private data class LimitMessage(
    @SerialName("s") val backendServerId: String,
    @SerialName("v") val vmId: String,
    @SerialName("r") val requestsPerS: Double?,
    @SerialName("t") val asOfTableTimeMs: Long,
)

/** Carries an age instead of a time of the table, so that it can also be read while the store is silent. */
@Serializable
private data class LeavingMessage(
    @SerialName("s") val backendServerId: String,
    @SerialName("v") val vmId: String,
    @SerialName("l") val isLeaving: Boolean,
    @SerialName("a") val ageMs: Long,
)
