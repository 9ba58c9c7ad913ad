package org.lycheemount.standin

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import org.lycheemount.common.Clock
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.http.PlatformClients
import org.lycheemount.platform.http.createPlatformClients
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/** Simulated platform over HTTP on loopback: table, object store, VM list and weight store, with configurable faults. */
class PlatformStandIn internal constructor(
    private val settings: PlatformStandInSettings,
    internal val clock: Clock = DefaultClock(),
) : AutoCloseable {
    /** Rows of the table. */
    val table = TableState(clock).apply { seed(settings.rows) }

    /** The VM list. */
    val vms = VmListState(settings.vms, clock)

    internal val objects = ConcurrentHashMap<String, ByteArray>()
    internal val counts = PlatformCallCounts()
    private val writeRateLimit = RateLimit(MS_PER_SECOND)
    private val readRateLimit = RateLimit(MS_PER_SECOND)
    private val weightLoadRateLimit = RateLimit(MS_PER_MINUTE)
    private val random = Random(settings.seed)
    private val faultsLock = Any()
    private var hangEnd = CompletableDeferred<Unit>()
    private var currentFaults = settings.faults
    private val mainServer = RestartableServer(settings.host, settings.port) { platformRoutes(this@PlatformStandIn, null) }
    private val zoneServers =
        settings.zonePorts.mapValues { (zoneId, port) ->
            RestartableServer(settings.host, port) { platformRoutes(this@PlatformStandIn, zoneId) }
        }

    /** Port of the main listener, which zone partitions do not affect. */
    val port: Int get() = mainServer.port

    /** Faults injected now. */
    var faults: PlatformFaults
        get() = synchronized(faultsLock) { currentFaults }
        set(value) =
            synchronized(faultsLock) {
                currentFaults = value
                if (!value.hanging) {
                    hangEnd.complete(Unit)
                    hangEnd = CompletableDeferred()
                }
            }

    /** Replaces the faults with the result of [edit]. */
    fun changeFaults(edit: PlatformFaults.() -> PlatformFaults) {
        synchronized(faultsLock) { faults = faults.edit() }
    }

    /** Returns the port of the listener for [zoneId]. */
    fun portOf(zoneId: ZoneId): Int = zoneServers.getValue(zoneId).port

    /** Base URL of the listener for [zoneId], or of the main one. */
    fun url(zoneId: ZoneId? = null): String = "http://${settings.host}:${if (zoneId == null) port else portOf(zoneId)}"

    /** Creates clients of this stand-in that connect to the listener for [zoneId], or to the main one. */
    fun clients(
        zoneId: ZoneId? = null,
        callTimeoutMs: Long = 2_000,
    ): PlatformClients = url(zoneId).let { createPlatformClients("$it/table", "$it/objects", "$it/vms", "$it/weights", callTimeoutMs) }

    override fun close() {
        mainServer.stop()
        zoneServers.values.forEach { it.stop() }
    }

    internal fun start() {
        mainServer.start()
        zoneServers.values.forEach { it.start() }
    }

    /** Applies the delay, hang, outage, partition and rate limit to a call. Returns the HTTP status of a refusal, or null. */
    internal suspend fun applyCallFaults(
        write: Boolean,
        zoneId: ZoneId?,
    ): Int? {
        val before = faults
        if (before.delayMs > 0) delay(before.delayMs)
        if (faults.hanging) awaitHangEnd()
        val now = faults
        if (now.down || (zoneId != null && zoneId in now.partitionedZones)) return STATUS_UNAVAILABLE
        val limit = if (write) now.writesPerSecond else now.readsPerSecond
        if ((if (write) writeRateLimit else readRateLimit).acquire(limit, clock.monotonicMs()) > 0) {
            counts.rateLimited.incrementAndGet()
            return STATUS_TOO_MANY_REQUESTS
        }
        (if (write) counts.writes else counts.reads).incrementAndGet()
        return null
    }

    /** Decides whether to drop the response of a write that took effect, and counts the drop. */
    internal fun takeResponseDrop(): Boolean =
        synchronized(faultsLock) {
            if (currentFaults.dropNextResponses > 0) {
                currentFaults = currentFaults.copy(dropNextResponses = currentFaults.dropNextResponses - 1)
                return true
            }
            currentFaults.droppedResponseShare > 0 && random.nextDouble() < currentFaults.droppedResponseShare
        }

    /** Acquires a weight load permit; returns 0 when granted, or else the wait in milliseconds. */
    internal fun acquireWeightLoad(): Long = weightLoadRateLimit.acquire(faults.weightLoadsPerMinute, clock.monotonicMs())

    private suspend fun awaitHangEnd() = synchronized(faultsLock) { hangEnd }.await()

    internal companion object {
        private const val MS_PER_SECOND = 1_000L
        private const val MS_PER_MINUTE = 60_000L
        private const val STATUS_UNAVAILABLE = 503
        private const val STATUS_TOO_MANY_REQUESTS = 429
    }
}

/** Calls that the platform stand-in executed or refused by rate limit. */
internal class PlatformCallCounts {
    val reads = AtomicLong()
    val writes = AtomicLong()
    val rateLimited = AtomicLong()
}

/** Starts a platform stand-in; returns once it accepts connections. */
fun startPlatformStandIn(
    settings: PlatformStandInSettings = PlatformStandInSettings(),
    clock: Clock = DefaultClock(),
): PlatformStandIn = PlatformStandIn(settings, clock).apply { start() }
