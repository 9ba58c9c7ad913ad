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
private const val DECODED_LISTS = 3

internal fun membershipSlopes(): List<Pair<String, Any>> =
    measureSlope("known_peer", "bytes", peerCounts) { peers -> retainedBytes { membershipTableOf(peers) } } +
        measureSlope("heartbeat_received_by_peers", "cpu_ns", peerCounts) { peers -> heartbeatNanos(peers) } +
        measureSlope("heartbeat_round_by_peers", "cpu_ns", peerCounts) { peers -> heartbeatRoundNanos(peers) } +
        measureSlope("neighbour_choice_by_peers", "cpu_ns", peerCounts) { peers -> neighbourSelectionNanos(peers) } +
        measureSlope("vm_list_by_servers", "cpu_ns", serverCounts) { servers -> vmListDecodingNanos(servers) } +
        measureSlope("vm_list_by_servers", "bytes", serverCounts) { servers -> vmListJson(servers).length.toDouble() } +
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

private fun membershipTableOf(peers: Int): MembershipTable {
    val table = MembershipTable(identity(0))
    table.onVmList(VmList((0 until peers).map { vm(it) }, emptyList(), 1), 0)
    for (index in 1 until peers) table.onMessage(identity(index), 0)
    return table
}

private fun heartbeatNanos(peers: Int): Double {
    val table = membershipTableOf(peers)
    val identities = (1 until peers).map { identity(it) }
    return cpuNanosPerOperation(HEARTBEATS) { table.onMessage(identities[it % identities.size], it.toLong()) }
}

private fun heartbeatRoundNanos(peers: Int): Double {
    val table = membershipTableOf(peers)
    return cpuNanosPerOperation(HEARTBEATS / 10) { table.membersFor(EvidenceUse.FORWARDING, it.toLong()) }
}

private fun neighbourSelectionNanos(peers: Int): Double {
    val locations = locations(peers)
    return cpuNanosPerOperation(HEARTBEATS / 30) { selectNeighbours(locations[it % peers], locations, FULL_MESH_UP_TO) }
}

private fun locations(peers: Int) = (0 until peers).map { MemberLocation(identity(it).routerId, identity(it).regionId) }

private fun neighboursAt(peers: Int): Double =
    locations(peers).let { locations -> locations.map { selectNeighbours(it, locations, FULL_MESH_UP_TO).size }.average() }

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

private fun vmListJson(servers: Int): String =
    Json.encodeToString(VmList.serializer(), VmList((0 until servers / 20).map { vm(it) }, serversOf(servers), 1))

private fun vmListDecodingNanos(servers: Int): Double {
    val text = vmListJson(servers)
    return cpuNanosPerOperation(DECODED_LISTS) { Json.decodeFromString(VmList.serializer(), text) }
}
