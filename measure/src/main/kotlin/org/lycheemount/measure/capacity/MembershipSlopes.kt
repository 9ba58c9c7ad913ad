package org.lycheemount.measure.capacity

import kotlinx.serialization.json.Json
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ModelId
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.measure.control.formatDecimal
import org.lycheemount.membership.EvidenceUse
import org.lycheemount.membership.MemberLocation
import org.lycheemount.membership.MembershipTable
import org.lycheemount.membership.selectNeighbours
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.VmList

private val peerCounts = listOf(100, 200, 400, 600, 1_200)
private val serverCounts = listOf(1_500, 3_000, 6_000, 12_000)
private const val REGIONS = 10
private const val MODELS = 10
private const val FULL_MESH_UP_TO = 16
private const val HEARTBEATS = 3_000
private const val LISTS = 3

internal fun membershipSlopes(): List<Pair<String, Any>> =
    slope("known_peer", "bytes", peerCounts) { peers -> retainedBytes { tableOf(peers) } } +
        slope("heartbeat_received_by_peers", "cpu_ns", peerCounts) { peers -> heartbeatNanos(peers) } +
        slope("heartbeat_round_by_peers", "cpu_ns", peerCounts) { peers -> roundNanos(peers) } +
        slope("neighbour_choice_by_peers", "cpu_ns", peerCounts) { peers -> choiceNanos(peers) } +
        slope("vm_list_by_servers", "cpu_ns", serverCounts) { servers -> listNanos(servers) } +
        slope("vm_list_by_servers", "bytes", serverCounts) { servers -> listText(servers).length.toDouble() } +
        listOf("capacity_neighbours_at_600" to formatDecimal(neighboursAt(600)))

private fun vm(index: Int) =
    RouterVm(
        VmId("vm-$index"),
        RouterId("router-$index"),
        RegionId("region-${index % REGIONS}"),
        ZoneId("zone-$index"),
        "10.0.${index / 250}.${index % 250}",
        7000,
    )

private fun identity(index: Int) =
    RouterIdentity(RouterId("router-$index"), VmId("vm-$index"), RegionId("region-${index % REGIONS}"), ZoneId("zone-$index"), 1)

private fun tableOf(peers: Int): MembershipTable {
    val table = MembershipTable(identity(0))
    table.onVmList(VmList((0 until peers).map { vm(it) }, emptyList(), 1), 0)
    for (index in 1 until peers) table.onMessage(identity(index), 0)
    return table
}

private fun heartbeatNanos(peers: Int): Double {
    val table = tableOf(peers)
    val identities = (1 until peers).map { identity(it) }
    return cpuNanosPerOperation(HEARTBEATS) { table.onMessage(identities[it % identities.size], it.toLong()) }
}

private fun roundNanos(peers: Int): Double {
    val table = tableOf(peers)
    return cpuNanosPerOperation(HEARTBEATS / 10) { table.membersFor(EvidenceUse.FORWARDING, it.toLong()) }
}

private fun choiceNanos(peers: Int): Double {
    val places = places(peers)
    return cpuNanosPerOperation(HEARTBEATS / 30) { selectNeighbours(places[it % peers], places, FULL_MESH_UP_TO) }
}

private fun places(peers: Int) = (0 until peers).map { MemberLocation(identity(it).routerId, identity(it).regionId) }

private fun neighboursAt(peers: Int): Double =
    places(peers).let { places -> places.map { selectNeighbours(it, places, FULL_MESH_UP_TO).size }.average() }

internal fun serversOf(count: Int): List<BackendServer> =
    (0 until count).map {
        BackendServer(
            BackendServerId("server-$it"),
            VmId("server-vm-$it"),
            ZoneId("zone-${it % 25}"),
            "10.1.${it / 250}.${it % 250}",
            8000,
            setOf(BackendTarget.Model(ModelId("model-${it / 25 % MODELS}"))),
        )
    }

private fun listText(servers: Int): String =
    Json.encodeToString(VmList.serializer(), VmList((0 until servers / 20).map { vm(it) }, serversOf(servers), 1))

private fun listNanos(servers: Int): Double {
    val text = listText(servers)
    return cpuNanosPerOperation(LISTS) { Json.decodeFromString(VmList.serializer(), text) }
}
