package org.lycheemount.app.router.gateway

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.adapter.testing.FakeRoute
import org.lycheemount.platform.adapter.testing.FakeStore
import org.lycheemount.platform.adapter.testing.LEAVING_HEADER
import org.lycheemount.platform.adapter.testing.REQUEST_ID_HEADER
import org.lycheemount.platform.adapter.testing.REQUEST_LIMIT_HEADER
import org.lycheemount.platform.adapter.testing.SIGNATURE_HEADER
import org.lycheemount.platform.adapter.testing.freeListenerAddress
import org.lycheemount.platform.adapter.testing.publishRoutes
import org.lycheemount.platform.adapter.testing.registerServer
import org.lycheemount.settings.GatewaySettings
import org.lycheemount.settings.RetryBudgetSettings
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Dependencies of one gateway on loopback: the platform's store, an operator's configuration and one backend server.
 *
 * @param serviceFields fields of the services in the configuration, in JSON.
 */
internal class GatewayFixture(
    serviceFields: String = "",
) : AutoCloseable {
    private val store = FakeStore().apply { waitsForChanges = true }

    /** Request limit that the backend server names in its responses; null for none. */
    @Volatile
    var requestLimitText: String? = null

    /** Times at which requests for `/plain/` reached the backend server. */
    val plainArrivalTimesMs: MutableList<Long> = CopyOnWriteArrayList()

    /** One more backend server, registered as [id] and cold for [coldRemainingMs], which responds to requests for `/plain/`. */
    inner class AdditionalServer(
        id: String,
        zone: String = DEFAULT_ZONE,
        coldRemainingMs: Long? = null,
    ) {
        /** Whether its responses say that it leaves. */
        @Volatile
        var isLeaving = false

        /** Number of requests that have reached it. */
        val requestCount = AtomicInteger()

        private val server =
            embeddedServer(CIO, host = "127.0.0.1", port = 0) {
                routing {
                    get("/plain/") {
                        requestCount.incrementAndGet()
                        if (isLeaving) call.response.header(LEAVING_HEADER, "1")
                        respondAsServer(call) { call.respondText("done") }
                    }
                }
            }.start(wait = false)

        init {
            store.registerServer(id, "127.0.0.1:${portOf(server)}", zone = zone, coldRemainingMs = coldRemainingMs)
            additionalServers += this
        }

        fun stop() = server.stop(0, 0)
    }

    /** Starts one more backend server, which runs the software version [version] and responds to requests for `/versioned/`. */
    fun startVersionedServer(version: String): VersionedStreamServer =
        VersionedStreamServer(version).also {
            store.registerServer("i-$version", it.address, VERSIONED_SERVICE, version)
            versionedServers += it
        }

    private val additionalServers = ArrayList<AdditionalServer>()
    private val versionedServers = ArrayList<VersionedStreamServer>()
    private val backendServer =
        embeddedServer(CIO, host = "127.0.0.1", port = 0) {
            routing {
                get("/plain/") {
                    plainArrivalTimesMs += System.nanoTime() / NANOS_PER_MS
                    requestLimitText?.let { call.response.header(REQUEST_LIMIT_HEADER, it) }
                    respondAsServer(call) { call.respondText("done") }
                }
                get("/hanging/") { awaitCancellation() }
                get("/endless/") { respondAsServer(call) { respondWithoutEnd(call) } }
            }
        }.start(wait = false)

    init {
        store.publishRoutes(ROUTES, serviceFields = serviceFields)
        store.registerServer("i-1", "127.0.0.1:${portOf(backendServer)}")
    }

    /** Settings of the gateway number [index], which has [drainGraceS] seconds to stop. */
    fun settings(
        drainGraceS: Double,
        index: Int = 1,
    ) = GatewaySettings(
        routerId = RouterId("r$index"),
        vmId = VmId("vm$index"),
        regionId = RegionId("region"),
        zoneId = ZoneId(DEFAULT_ZONE),
        callersAddress = freeListenerAddress(),
        readinessAddress = freeListenerAddress(),
        metricsAddress = freeListenerAddress(),
        peersAddress = freeListenerAddress(),
        storeAddress = store.address,
        drainGraceS = drainGraceS,
        retryBudget = RetryBudgetSettings(ratio = 0.2, slack = 10.0, windowS = 10.0),
    )

    /** Writes the operator's row by which the zone [zone] is evacuated. */
    fun evacuate(zone: String) = store.put("op", "evacuate/$zone", "{}")

    /** Removes the operator's row by which the zone [zone] is evacuated. */
    fun endEvacuation(zone: String) = store.put("op", "evacuate/$zone", value = null)

    /** From now on, the store does not respond. */
    fun silenceStore() {
        store.isSilent = true
    }

    override fun close() {
        store.isSilent = false
        backendServer.stop(0, 0)
        additionalServers.forEach { it.stop() }
        versionedServers.forEach { it.close() }
        store.close()
    }

    private fun portOf(server: EmbeddedServer<*, *>) =
        runBlocking {
            server.engine
                .resolvedConnectors()
                .first()
                .port
        }

    private suspend fun respondAsServer(
        call: ApplicationCall,
        respond: suspend () -> Unit,
    ) {
        call.response.header(REQUEST_ID_HEADER, call.request.headers[REQUEST_ID_HEADER].orEmpty())
        call.response.header(SIGNATURE_HEADER, "signature")
        respond()
    }

    private suspend fun respondWithoutEnd(call: ApplicationCall) =
        call.respondBytesWriter(ContentType.Text.EventStream) {
            var eventId = 0
            while (true) {
                writeStringUtf8("id: ${++eventId}\ndata: event\n\n")
                flush()
                delay(EVENT_INTERVAL_MS)
            }
        }

    private companion object {
        private const val DEFAULT_ZONE = "z"
        private const val VERSIONED_SERVICE = "versioned"
        private const val EVENT_INTERVAL_MS = 50L
        private const val NANOS_PER_MS = 1_000_000L
        private val ROUTES =
            listOf(
                FakeRoute("plain", "idempotent", timeoutMs = 1_000),
                FakeRoute("hanging", "non_idempotent", timeoutMs = 60_000),
                FakeRoute("endless", "streaming", timeoutMs = 60_000),
                FakeRoute("versioned", "streaming", timeoutMs = 60_000, VERSIONED_SERVICE, hasResumableStreams = true),
            )
    }
}

/** Parses [address], given as `IP address:port`. */
internal fun socketAddressOf(address: String) = InetSocketAddress(address.substringBefore(':'), address.substringAfter(':').toInt())

/** A request for [path] as a caller of the platform sends it. */
internal fun callerRequest(path: String): ByteArray = "GET $path HTTP/1.1\r\nHost: h\r\n$REQUEST_ID_HEADER: 1\r\n\r\n".encodeToByteArray()

/** Sends a request for `/plain/` to the router at [address] and returns the status line, or nothing unless the router listens. */
internal fun send(address: String): String =
    try {
        Socket().use { socket ->
            socket.connect(socketAddressOf(address))
            socket.getOutputStream().write(callerRequest("/plain/"))
            socket
                .getInputStream()
                .bufferedReader()
                .readLine()
                .orEmpty()
        }
    } catch (_: IOException) {
        ""
    }

/** Waits until the router at [address] has served a request, and fails if it does not for a minute. */
internal fun awaitServed(address: String) {
    val endsAtNs = System.nanoTime() + TimeUnit.MINUTES.toNanos(1)
    while (" 200 " !in send(address)) {
        check(System.nanoTime() < endsAtNs) { "the router at $address served no request in time" }
        Thread.sleep(SERVED_POLL_INTERVAL_MS)
    }
}

private const val SERVED_POLL_INTERVAL_MS = 25L
