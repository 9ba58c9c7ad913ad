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
private const val SLOW_SERVER_SLOWDOWN = 6.0
private const val US_PER_MS = 1_000L

/** Sets up the workers of a simulation, delivers their reports to the routers, and injects the fault of the scenario. */
internal class FleetDriver(
    private val simulation: FleetSimulation,
    private val scenario: Scenario,
    private val parameters: EngineParameters,
) {
    private val deployment = simulation.deployment
    private val listedServers = LinkedHashMap<BackendServerId, BackendServer>()
    private val lastReports = HashMap<BackendServerId, Pair<LoadReport, Long>>()

    fun setUp() {
        for (server in deployment.engines + deployment.workers) {
            addWorker(server)
            listedServers[server.backendServerId] = server
        }
        publishServerList()
        for (router in simulation.routers) {
            router.scheduler.onWorkClasses(trafficClasses.map { it.workClass })
            val offsetUs = router.index * REPORT_INTERVAL_US / deployment.routerCount
            simulation.scheduleEvery(REPORT_INTERVAL_US, offsetUs) { if (router.isAlive) deliverReports(router) }
        }
        simulation.scheduleAt(scenario.faultStartUs) { startFault() }
        simulation.scheduleAt(scenario.faultEndUs) { endFault() }
    }

    private fun startFault() {
        when (scenario.fault) {
            Fault.ZONE_LOSS -> loseZone()
            Fault.SLOW_SERVER -> engineWorker(0).engine.slowdown = SLOW_SERVER_SLOWDOWN
            Fault.LEAVING_SERVER -> {
                engineWorker(0).isLeaving = true
                val server = engineWorker(0).server
                updateServerListLater(LEAVING_LAG_US) { listedServers[server.backendServerId] = server.copy(leaving = true) }
            }
            Fault.NONE, Fault.STALE_REPORTS, Fault.BURST -> Unit
        }
    }

    private fun endFault() {
        when (scenario.fault) {
            Fault.ZONE_LOSS -> restoreZone()
            Fault.SLOW_SERVER -> engineWorker(0).engine.slowdown = 1.0
            Fault.LEAVING_SERVER -> {
                simulation.disconnect(engineWorker(0))
                replaceServer(deployment.engines[0])
            }
            Fault.NONE, Fault.STALE_REPORTS, Fault.BURST -> Unit
        }
    }

    private fun loseZone() {
        val zone = deployment.zones.first()
        val lostWorkers = simulation.workers.values.filter { it.server.zoneId == zone }
        lostWorkers.forEach { simulation.disconnect(it) }
        simulation.routers.filter { deployment.routerZone(it.index) == zone }.forEach { simulation.kill(it) }
        updateServerListLater(VM_LIST_LAG_US) { lostWorkers.forEach { listedServers.remove(it.server.backendServerId) } }
    }

    private fun restoreZone() {
        val zone = deployment.zones.first()
        (deployment.engines + deployment.workers).filter { it.zoneId == zone }.forEach { replaceServer(it) }
        for (router in simulation.routers.filterNot { it.isAlive }) {
            simulation.restart(router)
            router.scheduler.onWorkClasses(trafficClasses.map { it.workClass })
        }
        publishServerList()
    }

    private fun replaceServer(old: BackendServer) {
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
        val server = deployment.createServer(kind, index, old.targets.single(), generation = 1)
        addWorker(server)
        listedServers.remove(old.backendServerId)
        listedServers[server.backendServerId] = server
        publishServerList()
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

    private fun updateServerListLater(
        lagUs: Long,
        change: () -> Unit,
    ) = simulation.scheduleAt(simulation.nowUs + lagUs) {
        change()
        publishServerList()
    }

    private fun publishServerList() {
        for (router in simulation.routers.filter { it.isAlive }) {
            simulation.withScheduler(router) { onBackendServers(listedServers.values.toList(), simulation.nowMs) }
        }
    }

    private fun deliverReports(router: SimulatedRouter) {
        val areReportsStale = scenario.fault == Fault.STALE_REPORTS && simulation.nowUs in scenario.faultStartUs until scenario.faultEndUs
        for (worker in simulation.workers.values.filter { it.isReachable }) {
            val id = worker.server.backendServerId
            val currentReport = createLoadReport(worker)
            if (!areReportsStale) lastReports[id] = currentReport to simulation.nowMs
            val (lastReport, lastReportAtMs) = lastReports.getValue(id)
            val report = lastReport.copy(ageMs = lastReport.ageMs + simulation.nowMs - lastReportAtMs)
            simulation.withScheduler(router) { onLoadReport(report, simulation.nowMs) }
            if (worker is EngineWorker && !areReportsStale) deliverCacheEvents(router, worker)
        }
    }

    private fun createLoadReport(worker: Worker): LoadReport {
        val id = worker.server.backendServerId
        if (worker !is EngineWorker) return LoadReport(id, 0, worker.heldSlots, worker.queuedRequests, worker.slots)
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

    private fun engineWorker(index: Int) = simulation.workers.getValue(deployment.engines[index].backendServerId) as EngineWorker
}
