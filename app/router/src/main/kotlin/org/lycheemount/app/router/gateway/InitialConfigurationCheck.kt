package org.lycheemount.app.router.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.config.ConfigurationView

/**
 * Asks the peers for a newer configuration once a router that starts has read one from the store, which may have come back from an older
 * copy (decision 0049). Thread-safe.
 *
 * @param ask asks a peer for its configuration if that is newer than the given version.
 * @param load activates a configuration if it is newer than the active one.
 */
internal class InitialConfigurationCheck(
    private val configuration: ConfigurationView,
    private val clock: Clock,
    private val eventLog: EventLog,
    private val ask: suspend (RouterId, Long) -> PeerConfiguration,
    private val load: (ByteArray, RouterId) -> Unit,
) {
    private val hasConfiguration = CompletableDeferred<Unit>()
    private val listedPeers = CompletableDeferred<Set<RouterId>>()

    /** Whether a peer has answered, none can be reached, or [MAX_WAIT_MS] have passed since the first configuration was read. */
    @Volatile
    var isDone = false
        private set

    /** A configuration has become active. */
    fun onConfigurationChanged() {
        hasConfiguration.complete(Unit)
    }

    /** The list of routers has been read, and links are kept to [neighbours]. */
    fun onNeighbours(neighbours: Set<RouterId>) {
        listedPeers.complete(neighbours)
    }

    /** Runs until all peers have answered or cannot be reached. */
    suspend fun run(): Unit =
        coroutineScope {
            hasConfiguration.await()
            val startedAtMs = clock.monotonicMs()
            val isAnswered = withTimeoutOrNull(MAX_WAIT_MS) { askAll(this@coroutineScope, listedPeers.await()) }
            isDone = true
            eventLog.info(
                "initial_configuration_checked",
                "in_force" to configuration.current().sequence,
                "answered" to isAnswered,
                "elapsed_ms" to clock.monotonicMs() - startedAtMs,
            )
        }

    /** Returns true after the first answer, or false if no peer can be reached. Later answers are still applied in [scope]. */
    private suspend fun askAll(
        scope: CoroutineScope,
        peers: Set<RouterId>,
    ): Boolean {
        val answers = Channel<Boolean>(Channel.UNLIMITED)
        for (peer in peers) scope.launch { answers.send(askPeer(peer)) }
        repeat(peers.size) { if (answers.receive()) return true }
        return false
    }

    private suspend fun askPeer(peer: RouterId): Boolean =
        when (val answer = ask(peer, configuration.current().sequence)) {
            is PeerConfiguration.Newer -> {
                load(answer.value, peer)
                true
            }
            PeerConfiguration.NotNewer -> true
            PeerConfiguration.Unknown -> false
        }

    private companion object {
        // Links between VMs open within some tens of milliseconds.
        private const val MAX_WAIT_MS = 1_000L
    }
}
