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

/** Model engine over HTTP on loopback, with fault switches. */
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

    /** Name of this backend server. */
    val backendServerId = settings.backendServerId

    /** Port in use, also after a restart. */
    val port: Int get() = server.port

    /** Faults in force. */
    var faults: EngineFaults
        get() = currentFaults

        @Synchronized set(value) {
            currentFaults = value
            applyFaults(value)
        }

    /** Slots held now, also by requests whose client is gone. */
    val slotsHeld: Int get() = driver.withModel { model, _ -> model.slotsHeld }

    /** Output tokens generated since the start or restart. */
    val generatedTokens: Long get() = driver.withModel { model, _ -> model.generatedTokens }

    /** Number of times each request was accepted, over restarts. */
    fun acceptances(): Map<RequestId, Int> = acceptances.toMap()

    /** Changes some faults. */
    fun changeFaults(edit: EngineFaults.() -> EngineFaults) {
        faults = faults.edit()
    }

    /** Breaks all connections, closes the port and loses all state, as the death of the VM does. */
    @Synchronized
    fun crash() {
        if (!isRunning) return
        isRunning = false
        scope.cancel()
        server.stop()
    }

    /** Comes back on the same port with an empty cache. */
    @Synchronized
    fun restart() {
        crash()
        if (currentFaults.dieAfterTokens != null) currentFaults = currentFaults.copy(dieAfterTokens = null)
        start()
    }

    /** Describes this engine as the VM list does. */
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

    /** Returns at once, or when a hang ends. */
    internal suspend fun awaitHangEnd() {
        if (currentFaults.hanging) synchronized(this) { hangEnd }.await()
    }

    /** Dies from within one of its own streams. */
    internal fun crashAsync() {
        val crashingDriver = driver
        Thread({ crashIfCurrent(crashingDriver) }, "engine-death").start()
    }

    /** Does nothing when the engine has been restarted meanwhile. */
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

/** Starts an engine stand-in and returns it when it accepts connections. */
fun startEngineStandIn(settings: EngineStandInSettings): EngineStandIn = EngineStandIn(settings).apply { start() }
