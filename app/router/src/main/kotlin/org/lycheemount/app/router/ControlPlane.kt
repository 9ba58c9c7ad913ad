package org.lycheemount.app.router

import io.ktor.server.engine.EmbeddedServer
import kotlinx.coroutines.CoroutineScope
import org.lycheemount.admin.AdminInterface
import org.lycheemount.admin.AdminKey
import org.lycheemount.admin.AdminRole
import org.lycheemount.admin.AdminServices
import org.lycheemount.budget.BudgetAdministration
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.common.StateDumpSource
import org.lycheemount.config.ConfigurationPeers
import org.lycheemount.config.ConfigurationReadiness
import org.lycheemount.config.ConfigurationService
import org.lycheemount.membership.MembershipListener
import org.lycheemount.membership.MembershipService
import org.lycheemount.peer.socket.DefaultPeerMessenger
import org.lycheemount.peer.socket.PeerEndpoint
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.TableService
import org.lycheemount.platform.VmDirectory
import org.lycheemount.platform.VmList
import org.lycheemount.settings.AdminKeySettings
import org.lycheemount.settings.ListenerSettings

/**
 * Wires membership, configuration and the administration API of one router.
 *
 * @param peers messenger that has been started; membership sets its peers.
 * @param stateSources parts that the administration API dumps beside those of the control plane.
 * @param onVmList receives each VM list that membership reads.
 */
class ControlPlane(
    adminListener: ListenerSettings,
    adminKeys: List<AdminKeySettings>,
    table: TableService,
    vmDirectory: VmDirectory,
    private val peers: DefaultPeerMessenger,
    budgets: BudgetAdministration,
    clock: Clock,
    eventLog: EventLog,
    stateSources: List<StateDumpSource> = emptyList(),
    private val otherNotReadyReasons: () -> List<String> = { emptyList() },
    startDrain: () -> Unit = {},
    private val onVmList: (VmList) -> Unit = {},
) {
    /** Evidence about the other routers. */
    val membership: MembershipService =
        MembershipService(peers, vmDirectory, clock, eventLog, PeerUpdates(), configurationSequence = { configuration.replica.sequence })

    /** Configuration in force, and the store that changes it. */
    val configuration: ConfigurationService = ConfigurationService(table, peers, KnownPeers(), clock, eventLog)

    /** Parts of the control plane for the state dump. */
    val stateSources: List<StateDumpSource> = listOf(configuration, membership)

    private val admin =
        AdminInterface(
            AdminServices(
                identity = peers.self,
                configuration = configuration,
                budgets = budgets,
                keys = adminKeys.map { AdminKey(it.name, AdminRole.valueOf(it.role.uppercase()), it.keySha256, it.teamId) },
                stateSources = stateSources + this.stateSources,
                eventLog = eventLog,
                notReadyReasons = ::notReadyReasons,
                startDrain = startDrain,
            ),
        )
    private val server: EmbeddedServer<*, *> = createHttpServer(adminListener, eventLog) { admin.installInto(this) }

    /** Starts the background work in [scope] and the administration listener; returns its port. */
    suspend fun start(scope: CoroutineScope): Int {
        membership.start(scope)
        configuration.start(scope)
        server.start(wait = false)
        return server.engine
            .resolvedConnectors()
            .first()
            .port
    }

    /** Stops the administration listener; the background work ends with its scope. */
    fun stop() = server.stop(STOP_GRACE_MS, STOP_TIMEOUT_MS)

    /** Returns the reasons for which this router is not ready. */
    fun notReadyReasons(): List<String> {
        val readiness = configuration.readiness()
        return otherNotReadyReasons() +
            listOfNotNull((readiness as? ConfigurationReadiness.NotReady)?.let { "configuration: ${it.reason}" })
    }

    private inner class PeerUpdates : MembershipListener {
        override fun onVmList(list: VmList) = this@ControlPlane.onVmList.invoke(list)

        override fun onPeers(
            known: List<RouterVm>,
            neighbours: Set<RouterId>,
        ) = peers.setPeers(known.map { PeerEndpoint(it.routerId, it.vmId, it.host, it.peerPort) }, neighbours)

        override fun onConfigurationSequence(
            from: RouterId,
            sequence: Long,
        ) = configuration.onPeerSequence(from, sequence)
    }

    private inner class KnownPeers : ConfigurationPeers {
        override fun routerCount(): Int = membership.routerCount()

        override fun pushTargets(): List<RouterId> = membership.pushTargets()
    }

    private companion object {
        private const val STOP_GRACE_MS = 100L
        private const val STOP_TIMEOUT_MS = 1_000L
    }
}
