package org.lycheemount.app.router.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.PublishedConfiguration
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.platform.adapter.createOperatorRowWatcher
import org.lycheemount.platform.adapter.testing.RestorableStore
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import kotlin.random.Random

internal const val CONFIGURATION_APPLY_MS = 2_000L

/**
 * The part of a router that follows the operator's configuration in [store], in virtual time.
 *
 * @param network network on which it exchanges heartbeats and configurations with its peers; null for none.
 */
internal class StoreFollower(
    scope: TestScope,
    store: RestorableStore,
    private val network: FakePeerNetwork? = null,
    name: String = "r0",
) {
    val routerId = RouterId(name)
    val link = store.Link()
    private val scope = CoroutineScope(scope.backgroundScope.coroutineContext + Job(scope.backgroundScope.coroutineContext.job))
    private val clock = scope.virtualClock()
    private val eventLog = FakeEventLog()
    private val configuration = PublishedConfiguration(FakeEventLog())
    private val client = createStoreClient(link, "127.0.0.1:1", clock, FakeEventLog())
    private val watcher = createOperatorRowWatcher(client)
    private val lag = ConfigurationLag(configuration, clock, FakeEventLog())
    private val refresher = ConfigurationRefresher(clock, watcher::isReceiving, lag::isBehind, watcher::awaitCurrent)
    private val loader = ConfigurationLoader(configuration, clock, eventLog) { initialCheck?.onConfigurationChanged() }
    private var initialCheck: InitialConfigurationCheck? = null

    val version get() = configuration.current().sequence

    /** Version by which requests are served; null while none can be. */
    val servingVersion get() = version.takeIf { it > 0 && initialCheck?.isDone != false }

    /** Number of configurations that were read from peers. */
    val configurationsFromPeers get() = eventLog.events.count { (event, fields) -> event == "configuration_read" && "peer" in fields }

    init {
        val listener = ConfigurationRowListener(loader, clock, FakeEventLog())
        this.scope.launch { watcher.watch(listener) }
        network?.let { join(it.join(RouterIdentity(routerId, VmId(name), RegionId("region"), ZoneId("z"), incarnation = 1))) }
    }

    private fun join(messenger: PeerMessenger) {
        val exchange = PeerConfigurationExchange(messenger, eventLog, loader::document)
        val recovery =
            ConfigurationRecovery(configuration, lag, watcher::awaitCurrent, exchange::request) { value, peer ->
                loader.load(value, "peer" to peer.value)
            }
        val check =
            InitialConfigurationCheck(configuration, clock, eventLog, exchange::ask) { value, peer ->
                loader.load(value, "peer" to peer.value)
            }
        initialCheck = check
        check.onNeighbours(messenger.connectedPeers().mapTo(HashSet()) { it.routerId })
        scope.launch { check.run() }
        exchange.start()
        messenger.register(heartbeatChannel) { from, payload ->
            recovery.onPeerVersion(from.routerId, payload.decodeToString().toLong())
            null
        }
        val random = Random(routerId.value.hashCode())
        scope.launch { recovery.run() }
        scope.launch {
            while (true) {
                delay(random.nextLong(1_500, 2_500))
                val heartbeat = version.toString().encodeToByteArray()
                messenger.connectedPeers().forEach { messenger.send(it.routerId, heartbeatChannel, heartbeat) }
            }
        }
    }

    /** A heartbeat of [peer] arrives. */
    fun onHeartbeat(peer: StoreFollower) = lag.onPeerVersion(RouterId("peer"), peer.version)

    suspend fun refresh() = refresher.refresh(patienceMs = 500)

    /** Ends the process. */
    fun stop() {
        network?.leave(routerId)
        scope.cancel()
    }

    private companion object {
        private val heartbeatChannel = PeerChannel("hb")
    }
}

/** The operator and the servers, which write again what a restored store has lost. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class StoreWriters(
    private val scope: TestScope,
    private val store: RestorableStore,
) {
    private var writtenVersion = 0L

    /** Newest version that the store has acknowledged, each with the time of its latest write. */
    val acknowledgedAtMs = sortedMapOf<Long, Long>()

    suspend fun publish(version: Long) {
        while (!store.put("op", "config", """{"version":$version,"services":[],"routes":[]}""")) delay(RETRY_MS)
        writtenVersion = version
        acknowledgedAtMs[version] = scope.currentTime
    }

    suspend fun publishAgain() {
        if (writtenVersion > 0) publish(writtenVersion)
    }

    fun registerServers(count: Int) = repeat(count) { store.put("servers", "i-$it", "{}") }

    /** Newest version that is due on a router that has been in touch with the store since [sinceMs]. */
    fun dueVersion(sinceMs: Long): Long {
        val dueAtMs = scope.currentTime - CONFIGURATION_APPLY_MS
        return acknowledgedAtMs.entries.lastOrNull { maxOf(it.value, sinceMs) <= dueAtMs }?.key ?: 0
    }

    private companion object {
        private const val RETRY_MS = 100L
    }
}
