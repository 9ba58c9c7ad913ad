package org.lycheemount.measure.routing

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.scheduling.CacheEvents
import org.lycheemount.scheduling.LoadReport
import org.lycheemount.standin.enginemodel.EngineModel
import org.lycheemount.standin.enginemodel.EngineParameters

private const val REPORT_INTERVAL_US = 500_000L
private const val VM_LIST_LAG_US = 10_000_000L
private const val LEAVING_LAG_US = 5_000_000L
private const val SLOWDOWN = 6.0
private const val US_PER_MS = 1_000L

/** Sets up the workers of a simulation, delivers their reports to the routers, and brings about the scenario's fault. */
internal class FleetDriver(
    private val simulation: FleetSimulation,
    private val scenario: Scenario,
    private val parameters: EngineParameters,
) {
    private val deployment = simulation.deployment
    private val listed = LinkedHashMap<BackendServerId, BackendServer>()
    private val heldReports = HashMap<BackendServerId, Pair<LoadReport, Long>>()

    fun prepare() {
        for (server in deployment.engines + deployment.workers) {
            addWorker(server)
            listed[server.backendServerId] = server
        }
        publishList()
        for (router in simulation.routers) {
            router.scheduler.onWorkClasses(trafficClasses.map { it.workClass })
            val offsetUs = router.index * REPORT_INTERVAL_US / deployment.routerCount
            simulation.every(REPORT_INTERVAL_US, offsetUs) { if (router.alive) deliverReports(router) }
        }
        simulation.at(scenario.faultFromUs) { beginFault() }
        simulation.at(scenario.faultUntilUs) { endFault() }
    }

    private fun beginFault() {
        when (scenario.fault) {
            Fault.ZONE_LOSS -> loseZone()
            Fault.SLOW_SERVER -> engine(0).engine.slowdown = SLOWDOWN
            Fault.LEAVING_SERVER -> {
                engine(0).leaving = true
                val server = engine(0).server
                relistLater(LEAVING_LAG_US) { listed[server.backendServerId] = server.copy(leaving = true) }
            }
            Fault.NONE, Fault.STALE_REPORTS, Fault.BURST -> Unit
        }
    }

    private fun endFault() {
        when (scenario.fault) {
            Fault.ZONE_LOSS -> restoreZone()
            Fault.SLOW_SERVER -> engine(0).engine.slowdown = 1.0
            Fault.LEAVING_SERVER -> {
                simulation.cutOff(engine(0))
                replace(deployment.engines[0])
            }
            Fault.NONE, Fault.STALE_REPORTS, Fault.BURST -> Unit
        }
    }

    private fun loseZone() {
        val zone = deployment.zones.first()
        val lost = simulation.workers.values.filter { it.server.zoneId == zone }
        lost.forEach { simulation.cutOff(it) }
        simulation.routers.filter { deployment.routerZone(it.index) == zone }.forEach { simulation.kill(it) }
        relistLater(VM_LIST_LAG_US) { lost.forEach { listed.remove(it.server.backendServerId) } }
    }

    private fun restoreZone() {
        val zone = deployment.zones.first()
        (deployment.engines + deployment.workers).filter { it.zoneId == zone }.forEach { replace(it) }
        for (router in simulation.routers.filterNot { it.alive }) {
            simulation.restart(router)
            router.scheduler.onWorkClasses(trafficClasses.map { it.workClass })
        }
        publishList()
    }

    private fun replace(old: BackendServer) {
        val index =
            (deployment.engines + deployment.workers).indexOf(old).let {
                if (it >=
                    deployment.engines.size
                ) {
                    it - deployment.engines.size
                } else {
                    it
                }
            }
        val kind = if (old.targets.single() is BackendTarget.Model) "engine-$index" else "worker-$index"
        val server = deployment.server(kind, index, old.targets.single(), generation = 1)
        addWorker(server)
        listed.remove(old.backendServerId)
        listed[server.backendServerId] = server
        publishList()
    }

    private fun addWorker(server: BackendServer) {
        val target = server.targets.single()
        simulation.workers[server.backendServerId] =
            when (target) {
                is BackendTarget.Model -> {
                    val models = mapOf(target.modelId to "1")
                    EngineWorker(server, EngineModel(parameters, models, simulation.nowUs, reportEachToken = false), parameters)
                }
                is BackendTarget.Service -> ServiceWorker(server)
            }
    }

    private fun relistLater(
        lagUs: Long,
        change: () -> Unit,
    ) = simulation.at(simulation.nowUs + lagUs) {
        change()
        publishList()
    }

    private fun publishList() {
        for (router in simulation.routers.filter { it.alive }) {
            simulation.withScheduler(router) { onBackendServers(listed.values.toList(), simulation.nowMs) }
        }
    }

    private fun deliverReports(router: SimulatedRouter) {
        val stale = scenario.fault == Fault.STALE_REPORTS && simulation.nowUs in scenario.faultFromUs until scenario.faultUntilUs
        for (worker in simulation.workers.values.filter { it.reachable }) {
            val id = worker.server.backendServerId
            val fresh = reportOf(worker)
            if (!stale) heldReports[id] = fresh to simulation.nowMs
            val (held, heldAtMs) = heldReports.getValue(id)
            val report = held.copy(ageMs = held.ageMs + simulation.nowMs - heldAtMs)
            simulation.withScheduler(router) { onLoadReport(report, simulation.nowMs) }
            if (worker is EngineWorker && !stale) deliverCacheEvents(router, worker)
        }
    }

    private fun reportOf(worker: Worker): LoadReport {
        val id = worker.server.backendServerId
        if (worker !is EngineWorker) return LoadReport(id, 0, worker.held, worker.waiting, worker.slots)
        val load = worker.engine.load(simulation.nowUs)
        return LoadReport(id, load.ageUs / US_PER_MS, load.runningRequests, load.queuedRequests, load.capacity)
    }

    private fun deliverCacheEvents(
        router: SimulatedRouter,
        worker: EngineWorker,
    ) {
        val id = worker.server.backendServerId
        val page = worker.engine.cacheEvents(router.lastCacheSequence[id] ?: 0, simulation.nowUs)
        router.lastCacheSequence[id] = page.lastSequence
        val events = CacheEvents(id, page.storedPrefixHashes, page.evictedPrefixHashes, page.hasGap)
        simulation.withScheduler(router) { onCacheEvents(events, simulation.nowMs) }
    }

    private fun engine(index: Int) = simulation.workers.getValue(deployment.engines[index].backendServerId) as EngineWorker
}
