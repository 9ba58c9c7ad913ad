package org.lycheemount.config

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.StateDumpSource
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.platform.TableService
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * Keeps this router's configuration up to date: polls the head row, pushes changes to neighbours and pulls from them.
 * No background work runs before [start] is called.
 */
class ConfigurationService(
    table: TableService,
    private val messenger: PeerMessenger,
    private val peers: ConfigurationPeers,
    private val clock: Clock,
    private val log: EventLog,
    private val settings: PropagationSettings = PropagationSettings(),
    private val random: Random = Random.Default,
) : ConfigurationView,
    StateDumpSource {
    /** Items and versions of the active configuration. */
    val replica: ConfigurationReplica = ConfigurationReplica()

    private val tableSync = TableSync(table, replica, clock, log)
    private val peerSync = PeerSync(messenger, replica)
    private val pullQueue = Channel<RouterId>(PULL_QUEUE_CAPACITY)
    private val queuedPulls = ConcurrentHashMap.newKeySet<RouterId>()

    /** Changes the durable configuration. */
    val store: ConfigurationStore = DefaultConfigurationStore(table, replica, tableSync, log, random) { push(it, except = null) }

    override val name: String = "configuration"

    override fun current(): ConfigurationSnapshot = replica.current()

    /** Registers the channels and starts loading, polling and pulling in [scope]. */
    fun start(scope: CoroutineScope) {
        messenger.register(pushChannel) { from, payload ->
            onPush(from, payload)
            null
        }
        messenger.register(pullChannel) { _, payload -> peerSync.respond(payload) }
        scope.launch { loadThenPoll() }
        scope.launch { runQueuedPulls() }
    }

    /** Called when a heartbeat of [from] reports that it has the configuration up to [sequence]. */
    fun onPeerSequence(
        from: RouterId,
        sequence: Long,
    ) {
        if (sequence > replica.sequence) enqueuePull(from)
    }

    /** Returns whether this router has a configuration, and the time since the table last confirmed it. */
    fun readiness(): ConfigurationReadiness {
        if (!replica.isLoaded) {
            val peerCount = messenger.connectedPeers().size
            return ConfigurationReadiness.NotReady(
                "table: ${tableSync.lastFailure}; none of $peerCount connected peers has a configuration",
            )
        }
        return ConfigurationReadiness.Ready(replica.sequence, tableSync.confirmedAtMs?.let { clock.monotonicMs() - it })
    }

    /** Returns the state of the table's configuration compared with the active one. */
    fun tableSyncState(): TableSyncState = tableSync.syncState()

    override fun dumpState(): JsonObject =
        buildJsonObject {
            val snapshot = current()
            put("sequence", snapshot.sequence)
            put("loaded", replica.isLoaded)
            put("age_ms", tableSync.confirmedAtMs?.let { clock.monotonicMs() - it })
            put("last_table_failure", tableSync.lastFailure)
            put("items_lost_by_table", replica.itemsLostByTable().size)
            put("teams", snapshot.teams.size)
            put("work_classes", snapshot.workClasses.size)
            put("models", snapshot.models.size)
            put("services", snapshot.services.size)
        }

    private suspend fun loadThenPoll() {
        delayInitialLoad()
        while (!replica.isLoaded) {
            if (tryLoad()) break
            delay(settings.initialLoadRetryMs / 2 + random.nextLong(settings.initialLoadRetryMs))
        }
        log.info("configuration_loaded", "sequence" to replica.sequence)
        while (true) {
            val pollMs = settings.pollMs(peers.routerCount())
            delay(pollMs * 3 / 4 + random.nextLong(pollMs / 2))
            logFailures("configuration_poll_failed") { tableSync.sync() }
        }
    }

    /** Waits for a random time proportional to the fleet size, so that routers that start together do not overload the table. */
    private suspend fun delayInitialLoad() {
        var waitedMs = 0L
        while (peers.routerCount() == 0 && waitedMs < settings.initialLoadRetryMs) {
            delay(ROUTER_COUNT_POLL_MS)
            waitedMs += ROUTER_COUNT_POLL_MS
        }
        delay(random.nextLong(peers.routerCount() * settings.initialLoadSpreadMsPerRouter + 1))
    }

    /** Pulls the full state from a peer if possible, which limits the load on the table when all routers start together. */
    private suspend fun tryLoad(): Boolean {
        val candidates =
            messenger
                .connectedPeers()
                .map { it.routerId }
                .shuffled(random)
                .take(PEERS_PER_INITIAL_LOAD)
        logFailures("configuration_pull_failed") { candidates.firstOrNull { peerSync.pull(it) } }
        logFailures("configuration_load_failed") { tableSync.sync() }
        return replica.isLoaded
    }

    private suspend fun runQueuedPulls() {
        for (peer in pullQueue) {
            queuedPulls -= peer
            logFailures("configuration_pull_failed") { peerSync.pull(peer) }
        }
    }

    private fun enqueuePull(peer: RouterId) {
        if (queuedPulls.add(peer) && !pullQueue.trySend(peer).isSuccess) queuedPulls -= peer
    }

    private fun onPush(
        from: RouterIdentity,
        payload: ByteArray,
    ) {
        val message = wireCbor.decodeFromByteArray(PushMessage.serializer(), payload)
        val change = rowJson.decodeFromString(ConfigurationChange.serializer(), message.change)
        when (replica.apply(change)) {
            ApplyOutcome.Applied -> push(change, except = from.routerId)
            ApplyOutcome.MissingPredecessor -> enqueuePull(from.routerId)
            ApplyOutcome.AlreadyApplied -> Unit
        }
    }

    private fun push(
        change: ConfigurationChange,
        except: RouterId?,
    ) {
        val text = rowJson.encodeToString(ConfigurationChange.serializer(), change)
        val payload = wireCbor.encodeToByteArray(PushMessage.serializer(), PushMessage(text))
        val targets =
            peers
                .pushTargets()
                .filter { it != except }
                .shuffled(random)
                .take(settings.pushFanout)
        targets.forEach { messenger.send(it, pushChannel, payload) }
    }

    private suspend fun logFailures(
        event: String,
        work: suspend () -> Unit,
    ) {
        try {
            work()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            log.warn(event, "error" to failure.toString())
        }
    }

    private companion object {
        private const val PULL_QUEUE_CAPACITY = 64
        private const val ROUTER_COUNT_POLL_MS = 10L
        private const val PEERS_PER_INITIAL_LOAD = 3
    }
}
