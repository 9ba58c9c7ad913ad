package org.lycheemount.app.router.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.config.ConfigurationView
import org.lycheemount.membership.MembershipListener
import org.lycheemount.membership.MembershipService
import org.lycheemount.membership.MembershipSettings
import org.lycheemount.membership.TableVmDirectory
import org.lycheemount.membership.awaitFleetSecret
import org.lycheemount.membership.keepFleetSecret
import org.lycheemount.membership.keepIncarnation
import org.lycheemount.peer.socket.DefaultPeerMessenger
import org.lycheemount.peer.socket.PeerEndpoint
import org.lycheemount.peer.socket.PeerLinkSettings
import org.lycheemount.peer.socket.PeerSecret
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.TableService
import org.lycheemount.platform.VmList
import org.lycheemount.platform.adapter.StoreClient
import org.lycheemount.platform.adapter.createRowFeed
import org.lycheemount.platform.adapter.createRowTableService
import org.lycheemount.scheduling.RouterFleet

/**
 * Peer links to the other routers, which are discovered through the rows that they keep in the table.
 *
 * @param onNeighbours receives the routers to which links are kept, after each list of routers.
 * @param onPeerConfiguration receives the version of the configuration that a peer has reported.
 */
internal class GatewayPeers(
    private val table: TableService,
    private val store: StoreClient,
    private val self: RouterVm,
    private val identity: RouterIdentity,
    private val clock: Clock,
    private val eventLog: EventLog,
    configuration: ConfigurationView,
    private val dispatcher: WorkDispatcher,
    private val onNeighbours: (Set<RouterId>) -> Unit,
    private val onPeerConfiguration: (RouterId, Long) -> Unit,
) : MembershipListener {
    @Volatile
    private lateinit var fleetSecret: PeerSecret

    val messenger = DefaultPeerMessenger(identity, { fleetSecret }, eventLog, PEER_LINK_SETTINGS)
    val directory =
        TableVmDirectory(
            createRowTableService(store, TableVmDirectory.TABLE_NAME),
            createRowFeed(store, TableVmDirectory.TABLE_NAME),
            store.eras,
            self,
            eventLog,
        )
    private val membership =
        MembershipService(messenger, directory, clock, eventLog, this, MEMBERSHIP_SETTINGS) { configuration.current().sequence }

    /** Number of routers in the fleet, including this one. */
    val routerCount: Int get() = maxOf(1, membership.routerCount())

    /** Clock of the table minus the monotonic clock of this router, in milliseconds; null before the first list of routers. */
    @Volatile
    var tableTimeOffsetMs: Long? = null
        private set

    /** Opens the listener for peers, which is closed with [scope]. Throws [java.io.IOException] if its address cannot be bound. */
    suspend fun bind(scope: CoroutineScope) {
        messenger.bind(scope, self.host, self.peerPort)
    }

    /** Starts the peer links in [scope] as soon as the shared secret has been read from the table. To be called after [bind]. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            val secret = awaitFleetSecret(table)
            fleetSecret = PeerSecret(secret)
            messenger.start()
            membership.start(scope)
            scope.launch { keepFleetSecret(table, store.eras, secret, eventLog) { fleetSecret = PeerSecret(it) } }
        }
        scope.launch { keepIncarnation(table, store.eras, self.vmId, identity.incarnation, eventLog) }
    }

    override fun onPeers(
        known: List<RouterVm>,
        neighbours: Set<RouterId>,
    ) {
        messenger.setPeers(known.map { PeerEndpoint(it.routerId, it.vmId, it.host, it.peerPort) }, neighbours)
        onNeighbours(neighbours)
    }

    override fun onVmList(list: VmList) {
        val offsetMs = list.asOfTableTimeMs - clock.monotonicMs()
        tableTimeOffsetMs = offsetMs
        dispatcher.onRouterFleet(RouterFleet(self.routerId, list.routers.map { it.routerId }.distinct(), offsetMs))
    }

    override fun onConfigurationSequence(
        from: RouterId,
        sequence: Long,
    ) = onPeerConfiguration(from, sequence)

    private companion object {
        // A network partition between VMs lasts seconds. Short timeouts keep the links from being down much longer.
        private val PEER_LINK_SETTINGS =
            PeerLinkSettings(handshakeTimeoutMs = 1_500, keepAliveIntervalMs = 1_000, idleTimeoutMs = 3_000, maxRetryDelayMs = 1_000)

        // New routers must get their share of budgets and retries within seconds.
        private val MEMBERSHIP_SETTINGS =
            MembershipSettings(heartbeatIntervalMs = 2_000, heartbeatTimeoutMs = 7_000, vmListIntervalMs = 3_000)
    }
}
