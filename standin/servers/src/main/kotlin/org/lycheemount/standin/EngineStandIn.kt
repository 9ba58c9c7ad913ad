package org.lycheemount.standin

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.RequestId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.standin.enginemodel.EngineModel
import java.util.concurrent.ConcurrentHashMap

/** Simulated model engine over HTTP on loopback, with configurable faults. */
class EngineStandIn internal constructor(
    private val settings: EngineStandInSettings,
) : AutoCloseable {
    private val server = RestartableServer(settings.host, settings.port) { engineRoutes(this@EngineStandIn) }
    private var scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val acceptances = ConcurrentHashMap<RequestId, Int>()
    private var hangEnd = CompletableDeferred<Unit>()

    @Volatile
    internal lateinit var driver: EngineDriver
        private set

    @Volatile
    private var currentFaults = settings.faults

    /** Whether the engine accepts connections. */
    @Volatile
    var isRunning: Boolean = false
        private set

    /** Id of this backend server. */
    val backendServerId = settings.backendServerId

    /** Port in use; a restart keeps it. */
    val port: Int get() = server.port

    /** Faults injected now. */
    var faults: EngineFaults
        get() = currentFaults

        @Synchronized set(value) {
            currentFaults = value
            applyFaults(value)
        }

    /** Slots held now, including those of requests whose client has disconnected. */
    val slotsHeld: Int get() = driver.withModel { model, _ -> model.slotsHeld }

    /** Output tokens generated since the last start. */
    val generatedTokens: Long get() = driver.withModel { model, _ -> model.generatedTokens }

    /** Number of times each request was accepted; kept across restarts. */
    fun acceptances(): Map<RequestId, Int> = acceptances.toMap()

    /** Replaces the faults with the result of [edit]. */
    fun changeFaults(edit: EngineFaults.() -> EngineFaults) {
        faults = faults.edit()
    }

    /** Closes all connections and the port and discards all state, as the loss of the VM does. */
    @Synchronized
    fun crash() {
        if (!isRunning) return
        isRunning = false
        scope.cancel()
        server.stop()
    }

    /** Crashes the engine if it runs, and starts it on the same port with an empty cache. */
    @Synchronized
    fun restart() {
        crash()
        if (currentFaults.dieAfterTokens != null) currentFaults = currentFaults.copy(dieAfterTokens = null)
        start()
    }

    /** Returns this engine's entry of the VM list. */
    fun describe(
        zoneId: ZoneId = ZoneId("zone"),
        vmId: VmId = VmId("vm-${backendServerId.value}"),
    ) = BackendServer(
        backendServerId,
        vmId,
        zoneId,
        settings.host,
        port,
        settings.models.keys.mapTo(HashSet()) { BackendTarget.Model(it) },
    )

    override fun close() = crash()

    @Synchronized
    internal fun start() {
        scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val model = EngineModel(settings.parameters, settings.models, EngineDriver.monotonicUs(), settings.seed)
        driver = EngineDriver(model, scope).apply { start() }
        applyFaults(currentFaults)
        server.start()
        isRunning = true
    }

    internal fun countAcceptance(requestId: RequestId) {
        acceptances.merge(requestId, 1, Int::plus)
    }

    /** Suspends while the engine hangs. */
    internal suspend fun awaitHangEnd() {
        if (currentFaults.hanging) synchronized(this) { hangEnd }.await()
    }

    /** Crashes the engine from another thread, so that one of its own streams can trigger it. */
    internal fun crashAsync() {
        val crashingDriver = driver
        Thread({ crashIfCurrent(crashingDriver) }, "engine-death").start()
    }

    /** Crashes the engine unless it has been restarted in the meantime. */
    @Synchronized
    private fun crashIfCurrent(crashingDriver: EngineDriver) {
        if (driver === crashingDriver) crash()
    }

    private fun applyFaults(faults: EngineFaults) {
        driver.withModel { model, nowUs ->
            if (faults.hanging) model.pause(nowUs) else model.resume(nowUs)
            model.slowdown = faults.slowdown
            model.leaving = faults.leaving
            model.cacheEventLossShare = faults.cacheEventLossShare
            model.checksFencingToken = faults.checksFencingToken
        }
        if (!faults.hanging) {
            hangEnd.complete(Unit)
            hangEnd = CompletableDeferred()
        }
    }
}

/** Starts an engine stand-in; returns once it accepts connections. */
fun startEngineStandIn(settings: EngineStandInSettings): EngineStandIn = EngineStandIn(settings).apply { start() }
