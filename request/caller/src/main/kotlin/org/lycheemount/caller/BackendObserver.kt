package org.lycheemount.caller

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.lycheemount.backend.EngineLoad
import org.lycheemount.backend.ModelEngineClient
import org.lycheemount.backend.PlainServiceClient
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.EventLog
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.VmDirectory
import org.lycheemount.scheduling.CacheEvents
import org.lycheemount.scheduling.LoadReport
import java.util.concurrent.ConcurrentHashMap

/** Polls the VM list and the load and cache reports of backend servers, and passes them to the dispatcher. */
class BackendObserver(
    private val vmDirectory: VmDirectory,
    private val engine: ModelEngineClient,
    private val plainServices: PlainServiceClient,
    private val dispatcher: WorkDispatcher,
    private val eventLog: EventLog,
) {
    private val lastCacheSequence = ConcurrentHashMap<BackendServerId, Long>()
    private val leavingServerIds: MutableSet<BackendServerId> = ConcurrentHashMap.newKeySet()
    private val pollPermits = Semaphore(MAX_CONCURRENT_POLLS)
    private var listedServers = emptyList<BackendServer>()

    /** Whether the VM list has been read at least once. */
    @Volatile
    var hasServerList: Boolean = false
        private set

    /** Polls until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch { repeatEvery(SERVER_LIST_INTERVAL_MS) { refreshServerList() } }
        scope.launch { repeatEvery(POLL_INTERVAL_MS) { pollServers() } }
    }

    private suspend fun repeatEvery(
        intervalMs: Long,
        action: suspend () -> Unit,
    ) {
        while (true) {
            action()
            delay(intervalMs)
        }
    }

    private suspend fun refreshServerList() {
        when (val result = vmDirectory.list()) {
            is TableResult.Response -> {
                listedServers = result.value.backendServers
                hasServerList = true
                publishServers()
            }

            is TableResult.Unavailable -> eventLog.warn("vm_list_unavailable", "detail" to result.detail)
            is TableResult.Unknown -> eventLog.warn("vm_list_unavailable", "detail" to result.detail)
        }
    }

    private suspend fun pollServers() =
        coroutineScope {
            for (server in dispatcher.backendServers) {
                launch { pollPermits.withPermit { if (servesModel(server)) pollEngine(server) else pollService(server) } }
            }
        }

    private suspend fun pollEngine(server: BackendServer) {
        val load = engine.load(server) ?: return
        reportLoad(server, load)
        val afterSequence = lastCacheSequence[server.backendServerId] ?: 0
        val page = engine.cacheEvents(server, afterSequence) ?: return
        lastCacheSequence[server.backendServerId] = page.lastSequence
        val isUnchanged = !page.hasGap && page.storedPrefixHashes.isEmpty() && page.evictedPrefixHashes.isEmpty()
        if (!isUnchanged) {
            dispatcher.onCacheEvents(CacheEvents(server.backendServerId, page.storedPrefixHashes, page.evictedPrefixHashes, page.hasGap))
        }
    }

    private suspend fun pollService(server: BackendServer) {
        plainServices.load(server)?.let { reportLoad(server, it) }
    }

    private fun reportLoad(
        server: BackendServer,
        load: EngineLoad,
    ) {
        val id = server.backendServerId
        // The VM list lags behind, so a server that reports that it is leaving is excluded from new work immediately.
        val hasChanged = if (load.leaving) leavingServerIds.add(id) else leavingServerIds.remove(id)
        if (hasChanged) publishServers()
        dispatcher.onLoadReport(LoadReport(id, load.ageMs, load.runningRequests, load.queuedRequests, load.capacity))
    }

    @Synchronized
    private fun publishServers() {
        val servers = listedServers.map { if (it.backendServerId in leavingServerIds) it.copy(leaving = true) else it }
        val ids = servers.mapTo(HashSet()) { it.backendServerId }
        leavingServerIds.retainAll(ids)
        lastCacheSequence.keys.retainAll(ids)
        dispatcher.onBackendServers(servers)
    }

    private fun servesModel(server: BackendServer) = server.targets.any { it is BackendTarget.Model }

    private companion object {
        private const val SERVER_LIST_INTERVAL_MS = 1_000L

        // Engines publish their load about twice a second; polling faster would read the same values again.
        private const val POLL_INTERVAL_MS = 500L
        private const val MAX_CONCURRENT_POLLS = 16
    }
}
