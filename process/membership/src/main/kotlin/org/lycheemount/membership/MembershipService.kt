package org.lycheemount.membership

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.StateDumpSource
import org.lycheemount.common.VmId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.VmDirectory
import org.lycheemount.platform.VmList
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Receives membership changes. Called from the scope of the service; implementations must return quickly. */
interface MembershipListener {
    /** A new VM list was applied. */
    fun onVmList(list: VmList) {}

    /** Reports the routers that can be called, and the [neighbours] among them to which links must be kept. */
    fun onPeers(
        known: List<RouterVm>,
        neighbours: Set<RouterId>,
    ) {}

    /** A heartbeat reported that [from] has the configuration up to [sequence]. */
    fun onConfigurationSequence(
        from: RouterId,
        sequence: Long,
    ) {}
}

/**
 * Reads the VM list, exchanges heartbeats with neighbours and maintains the evidence. Thread-safe.
 *
 * @param configurationSequence returns the configuration sequence that heartbeats carry.
 */
class MembershipService(
    private val messenger: PeerMessenger,
    private val vmDirectory: VmDirectory,
    private val clock: Clock,
    private val eventLog: EventLog,
    private val listener: MembershipListener,
    private val settings: MembershipSettings = MembershipSettings(),
    private val random: Random = Random.Default,
    private val configurationSequence: () -> Long = { 0 },
) : StateDumpSource {
    private val table = MembershipTable(messenger.self, settings)
    private val requiredLinks = ConcurrentHashMap<String, Set<RouterId>>()

    @Volatile
    private var neighbours: Set<RouterId> = emptySet()

    @Volatile
    private var listedRouters = 0

    override val name: String = "membership"

    /** Registers the heartbeat channel, and starts to read the VM list and to send heartbeats in [scope]. */
    fun start(scope: CoroutineScope) {
        messenger.register(heartbeatChannel) { from, payload ->
            onHeartbeat(from, payload)
            null
        }
        scope.launch { readVmLists() }
        scope.launch { sendHeartbeats() }
    }

    /** Number of routers in the newest list, including this one; 0 before the first list. */
    fun routerCount(): Int = listedRouters

    /** Routers to which links are kept. */
    fun neighbours(): Set<RouterId> = neighbours

    /** Requires links to [routers] in addition to the selected neighbours. Replaces earlier requirements of [feature]. */
    fun requireLinks(
        feature: String,
        routers: Set<RouterId>,
    ) {
        requiredLinks[feature] = routers
        updatePeers()
    }

    /** Returns the evidence about the process [identity]. */
    fun evidence(identity: RouterIdentity): Evidence = synchronized(table) { table.evidence(identity, clock.monotonicMs()) }

    /** Returns the evidence about the VM [vmId], or null when it is unknown. */
    fun evidence(vmId: VmId): Evidence? = synchronized(table) { table.evidence(vmId, clock.monotonicMs()) }

    /** Returns the members whose evidence is sufficient for [use]. */
    fun membersFor(use: EvidenceUse): List<Member> = synchronized(table) { table.membersFor(use, clock.monotonicMs()) }

    /** Returns the neighbours and recent senders whose evidence is sufficient for [EvidenceUse.PUSH]. */
    fun pushTargets(): List<RouterId> {
        val usable = membersFor(EvidenceUse.PUSH).mapNotNull { it.identity?.routerId ?: it.vm?.routerId }.toSet()
        return (neighbours + recentSenders()).filter { it in usable }
    }

    /** Records an authenticated message of [from]; returns false when its incarnation is outdated. */
    fun onMessage(from: RouterIdentity): Boolean = synchronized(table) { table.onMessage(from, clock.monotonicMs()) }

    override fun dumpState(): JsonObject =
        buildJsonObject {
            put("listed_routers", listedRouters)
            put("neighbours", neighbours.size)
            putJsonArray("members") {
                for (member in synchronized(table) { table.members(clock.monotonicMs()) }) {
                    addJsonObject {
                        put("router_id", (member.identity?.routerId ?: member.vm?.routerId)?.value)
                        put("vm_id", (member.identity?.vmId ?: member.vm?.vmId)?.value)
                        put("zone_id", (member.identity?.zoneId ?: member.vm?.zoneId)?.value)
                        put("incarnation", member.identity?.incarnation)
                        put("evidence", member.evidence.name.lowercase())
                        put("silent_ms", member.silentMs)
                    }
                }
            }
        }

    private suspend fun readVmLists() {
        while (true) {
            try {
                applyVmList(vmDirectory.list())
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failure: Exception) {
                eventLog.warn("vm_list_failed", "error" to failure.toString())
            }
            delay(settings.vmListIntervalMs * 3 / 4 + random.nextLong(settings.vmListIntervalMs / 2))
        }
    }

    private fun applyVmList(result: TableResult<VmList>) {
        if (result !is TableResult.Answered) return
        synchronized(table) { table.onVmList(result.value, clock.monotonicMs()) }
        listedRouters = maxOf(1, result.value.routers.size)
        updatePeers()
        listener.onVmList(result.value)
    }

    private fun updatePeers() {
        val known = membersFor(EvidenceUse.PUSH).mapNotNull { it.vm }
        val locations =
            known.map { MemberLocation(it.routerId, it.regionId) } + MemberLocation(messenger.self.routerId, messenger.self.regionId)
        val selected = selectNeighbours(locations.last(), locations.distinctBy { it.routerId }, settings.maxFullMeshRouters)
        neighbours = selected + requiredLinks.values.flatten().filter { id -> known.any { it.routerId == id } }
        listener.onPeers(known, neighbours)
    }

    private fun onHeartbeat(
        from: RouterIdentity,
        payload: ByteArray,
    ) {
        val heartbeat = cbor.decodeFromByteArray(Heartbeat.serializer(), payload)
        if (onMessage(from)) listener.onConfigurationSequence(from.routerId, heartbeat.configurationSequence)
    }

    private suspend fun sendHeartbeats() {
        while (true) {
            delay(settings.heartbeatIntervalMs * 3 / 4 + random.nextLong(settings.heartbeatIntervalMs / 2))
            val payload = cbor.encodeToByteArray(Heartbeat.serializer(), Heartbeat(configurationSequence()))
            (neighbours + recentSenders()).forEach { messenger.send(it, heartbeatChannel, payload) }
        }
    }

    /**
     * Returns the routers that sent a message recently. Such a router may have this one as a neighbour and expect heartbeats, even if
     * it is not a neighbour of this one.
     */
    private fun recentSenders(): List<RouterId> = membersFor(EvidenceUse.FORWARDING).mapNotNull { it.identity?.routerId }

    private companion object {
        private val heartbeatChannel = PeerChannel("hb")
        private val cbor = Cbor { ignoreUnknownKeys = true }
    }
}

@Serializable
internal data class Heartbeat(
    @kotlinx.serialization.SerialName("c") val configurationSequence: Long,
)
