package org.lycheemount.app.router

import kotlinx.coroutines.CoroutineScope
import kotlinx.serialization.json.Json
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.StateDumpSource
import org.lycheemount.config.ConfigurationPeers
import org.lycheemount.config.ConfigurationReadiness
import org.lycheemount.config.ConfigurationService
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.ConfigurationView
import org.lycheemount.membership.Evidence
import org.lycheemount.membership.EvidenceUse
import org.lycheemount.membership.MembershipListener
import org.lycheemount.membership.MembershipService
import org.lycheemount.peer.socket.DefaultPeerMessenger
import org.lycheemount.peer.socket.PeerEndpoint
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.TableService
import org.lycheemount.platform.VmDirectory
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * Wires membership and configuration of this router with each other and with the peer links.
 *
 * @param configurationFile replaces the table's configuration by a fixed snapshot; null in production.
 */
internal class ControlPlane(
    table: TableService,
    vmDirectory: VmDirectory,
    private val peers: DefaultPeerMessenger,
    clock: Clock,
    eventLog: EventLog,
    configurationFile: String?,
) : MembershipListener,
    ConfigurationPeers {
    private val fixedConfiguration = configurationFile?.let { Json.decodeFromString<ConfigurationSnapshot>(Path.of(it).readText()) }
    val configurationService = ConfigurationService(table, peers, this, clock, eventLog)
    val membership: MembershipService =
        MembershipService(peers, vmDirectory, clock, eventLog, this, configurationSequence = { configuration.current().sequence })

    /** Active configuration of this process. */
    val configuration: ConfigurationView = fixedConfiguration?.let { snapshot -> ConfigurationView { snapshot } } ?: configurationService

    /** Sections that these components add to the state dump. */
    val stateSources: List<StateDumpSource> = listOf(peers, membership, configurationService)

    /** Starts the background coroutines in [scope]. */
    fun start(scope: CoroutineScope) {
        membership.start(scope)
        if (fixedConfiguration == null) configurationService.start(scope)
    }

    /** Reasons why the router is not ready; empty if it is. */
    fun notReadyReasons(): List<String> {
        if (fixedConfiguration != null) return emptyList()
        return when (val readiness = configurationService.readiness()) {
            is ConfigurationReadiness.NotReady -> listOf("no_configuration: ${readiness.reason}")
            is ConfigurationReadiness.Ready -> if (readiness.sequence > 0) emptyList() else listOf("no_configuration: none was applied yet")
        }
    }

    /**
     * Whether the process [router] is known to have ended. A newer incarnation on the same VM proves it. Another VM with the same
     * router id does not, because the earlier VM may only be paused.
     */
    fun hasEnded(router: RouterIdentity): Boolean =
        membership.evidence(router) == Evidence.GONE ||
            membership.membersFor(EvidenceUse.FORWARDING).mapNotNull { it.identity }.any {
                it.vmId == router.vmId && it.incarnation > router.incarnation
            }

    override fun onPeers(
        known: List<RouterVm>,
        neighbours: Set<RouterId>,
    ) = peers.setPeers(known.map { PeerEndpoint(it.routerId, it.vmId, it.host, it.peerPort) }, neighbours)

    override fun onConfigurationSequence(
        from: RouterId,
        sequence: Long,
    ) {
        if (fixedConfiguration == null) configurationService.onPeerSequence(from, sequence)
    }

    override fun routerCount(): Int = membership.routerCount()

    override fun pushTargets(): List<RouterId> = membership.pushTargets()
}
