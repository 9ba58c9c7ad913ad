package org.lycheemount.measure.routing

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ModelId
import org.lycheemount.common.ServiceId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId

/** Zones, routers and backend servers of one fleet, as in section 1 of the design. */
internal class Deployment(
    val name: String,
    val zones: List<ZoneId>,
    modelName: String,
    serviceName: String,
    private val engineCount: Int,
    private val workerCount: Int,
) {
    val model = BackendTarget.Model(ModelId(modelName))
    val service = BackendTarget.Service(ServiceId(serviceName))
    val routerCount = 7

    val engines: List<BackendServer> = (0 until engineCount).map { createServer("engine-$it", it, model) }
    val workers: List<BackendServer> = (0 until workerCount).map { createServer("worker-$it", it, service) }

    fun routerZone(index: Int): ZoneId = zones[index % zones.size]

    /** Creates a server; [generation] distinguishes a replacement from the VM that it replaces. */
    fun createServer(
        id: String,
        index: Int,
        target: BackendTarget,
        generation: Int = 0,
    ) = BackendServer(
        backendServerId = BackendServerId("$name-$id-$generation"),
        vmId = VmId("vm-$id-$generation"),
        zoneId = zones[index % zones.size],
        host = "127.0.0.1",
        port = 1,
        targets = setOf(target),
    )
}

internal val deployments =
    listOf(
        Deployment(
            "association",
            listOf("fraser", "okanagan", "kootenay", "island").map(::ZoneId),
            "loft-model",
            "shop-ledger",
            engineCount = 6,
            workerCount = 4,
        ),
        Deployment(
            "tartanmaat",
            listOf("anderlecht", "schaerbeek", "ixelles").map(::ZoneId),
            "drafting-llm",
            "order-desk",
            engineCount = 13,
            workerCount = 3,
        ),
    )
