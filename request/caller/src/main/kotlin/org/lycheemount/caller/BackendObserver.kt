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

/** Feeds the dispatcher with the VM list and with what backend servers report of themselves. */
class BackendObserver(
    private val vmDirectory: VmDirectory,
    private val engine: ModelEngineClient,
    private val plainServices: PlainServiceClient,
    private val dispatcher: WorkDispatcher,
    private val eventLog: EventLog,
) {
    private val lastCacheSequence = ConcurrentHashMap<BackendServerId, Long>()
    private val reportedLeaving: MutableSet<BackendServerId> = ConcurrentHashMap.newKeySet()
    private val concurrentReads = Semaphore(MAX_CONCURRENT_READS)
    private var listed = emptyList<BackendServer>()

    /** Whether the VM list has been read at least once. */
    @Volatile
    var hasList: Boolean = false
        private set

    /** Observes until [scope] ends. */
    fun start(scope: CoroutineScope) {
        scope.launch { repeatEvery(LIST_INTERVAL_MS) { readList() } }
        scope.launch { repeatEvery(REPORT_INTERVAL_MS) { readReports() } }
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

    private suspend fun readList() {
        when (val result = vmDirectory.list()) {
            is TableResult.Answered -> {
                listed = result.value.backendServers
                hasList = true
                publish()
            }

            is TableResult.Unavailable -> eventLog.warn("vm_list_unavailable", "detail" to result.detail)
            is TableResult.Unknown -> eventLog.warn("vm_list_unavailable", "detail" to result.detail)
        }
    }

    private suspend fun readReports() =
        coroutineScope {
            for (server in dispatcher.backendServers()) {
                launch { concurrentReads.withPermit { if (servesModel(server)) readEngine(server) else readService(server) } }
            }
        }

    private suspend fun readEngine(server: BackendServer) {
        val load = engine.load(server) ?: return
        onLoad(server, load)
        val after = lastCacheSequence[server.backendServerId] ?: 0
        val page = engine.cacheEvents(server, after) ?: return
        lastCacheSequence[server.backendServerId] = page.lastSequence
        val quiet = !page.hasGap && page.storedPrefixHashes.isEmpty() && page.evictedPrefixHashes.isEmpty()
        if (!quiet) {
            dispatcher.onCacheEvents(CacheEvents(server.backendServerId, page.storedPrefixHashes, page.evictedPrefixHashes, page.hasGap))
        }
    }

    private suspend fun readService(server: BackendServer) {
        plainServices.load(server)?.let { onLoad(server, it) }
    }

    private fun onLoad(
        server: BackendServer,
        load: EngineLoad,
    ) {
        val id = server.backendServerId
        // The VM list lags, so a server that says that it is leaving gets no more work at once.
        val changed = if (load.leaving) reportedLeaving.add(id) else reportedLeaving.remove(id)
        if (changed) publish()
        dispatcher.onLoadReport(LoadReport(id, load.ageMs, load.runningRequests, load.queuedRequests, load.capacity))
    }

    @Synchronized
    private fun publish() {
        val current = listed.map { if (it.backendServerId in reportedLeaving) it.copy(leaving = true) else it }
        val ids = current.mapTo(HashSet()) { it.backendServerId }
        reportedLeaving.retainAll(ids)
        lastCacheSequence.keys.retainAll(ids)
        dispatcher.onBackendServers(current)
    }

    private fun servesModel(server: BackendServer) = server.targets.any { it is BackendTarget.Model }

    private companion object {
        private const val LIST_INTERVAL_MS = 1_000L

        // Engines publish their load about twice a second; reading more often only repeats old figures.
        private const val REPORT_INTERVAL_MS = 500L
        private const val MAX_CONCURRENT_READS = 16
    }
}
