package org.lycheemount.standin

import kotlinx.coroutines.CompletableDeferred
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Simulated server of a plain service over HTTP on loopback, with configurable faults. */
class ServiceStandIn internal constructor(
    internal val settings: ServiceStandInSettings,
    internal val records: ServiceRecords,
) : AutoCloseable {
    private val server = RestartableServer(settings.host, settings.port) { serviceRoutes(this@ServiceStandIn) }
    private val random = Random(settings.seed)
    private var currentFaults = settings.faults
    private var hangEnd = CompletableDeferred<Unit>()
    internal val runningCalls = AtomicInteger()

    /** Whether the server accepts connections. */
    @Volatile
    var isRunning: Boolean = false
        private set

    /** Id of this backend server. */
    val backendServerId = settings.backendServerId

    /** Port in use; a restart keeps it. */
    val port: Int get() = server.port

    /** Faults injected now. */
    @get:Synchronized
    var faults: ServiceFaults
        get() = currentFaults

        @Synchronized set(value) {
            currentFaults = value
            if (!value.hanging) {
                hangEnd.complete(Unit)
                hangEnd = CompletableDeferred()
            }
        }

    /** Returns the calls executed by this server and those that share its records. */
    fun counters(): ServiceCounters = records.counters()

    /** Replaces the faults with the result of [edit]. */
    @Synchronized
    fun changeFaults(edit: ServiceFaults.() -> ServiceFaults) {
        faults = faults.edit()
    }

    /** Closes all connections and the port. */
    @Synchronized
    fun crash() {
        if (isRunning) server.stop()
        isRunning = false
    }

    /** Crashes the server if it runs, and starts it on the same port. The records are kept. */
    @Synchronized
    fun restart() {
        crash()
        start()
    }

    /** Returns this server's entry of the VM list. */
    fun describe(
        zoneId: ZoneId = ZoneId("zone"),
        vmId: VmId = VmId("vm-${backendServerId.value}"),
    ) = BackendServer(backendServerId, vmId, zoneId, settings.host, port, setOf(BackendTarget.Service(settings.serviceId)))

    override fun close() = crash()

    @Synchronized
    internal fun start() {
        server.start()
        isRunning = true
    }

    internal suspend fun awaitHangEnd() {
        val end = synchronized(this) { hangEnd.takeIf { currentFaults.hanging } }
        end?.await()
    }

    @Synchronized
    internal fun takeResponseDrop(): Boolean {
        if (currentFaults.dropNextResponses > 0) {
            currentFaults = currentFaults.copy(dropNextResponses = currentFaults.dropNextResponses - 1)
            return true
        }
        return currentFaults.droppedResponseShare > 0 && random.nextDouble() < currentFaults.droppedResponseShare
    }
}

/** Starts a service stand-in; returns once it accepts connections. Servers of one service share [records]. */
fun startServiceStandIn(
    settings: ServiceStandInSettings,
    records: ServiceRecords = ServiceRecords(),
): ServiceStandIn = ServiceStandIn(settings, records).apply { start() }
