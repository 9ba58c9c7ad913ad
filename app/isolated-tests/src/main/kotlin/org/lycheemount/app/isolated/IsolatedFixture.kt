package org.lycheemount.app.isolated

import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.adapter.testing.FakeLimits
import org.lycheemount.platform.adapter.testing.FakeRoute
import org.lycheemount.platform.adapter.testing.FakeStore
import org.lycheemount.platform.adapter.testing.FakeTenant
import org.lycheemount.platform.adapter.testing.REQUEST_ID_HEADER
import org.lycheemount.platform.adapter.testing.freeListenerAddress
import org.lycheemount.platform.adapter.testing.publishRoutes
import org.lycheemount.platform.adapter.testing.registerServer
import org.lycheemount.settings.GatewaySettings
import org.lycheemount.settings.RetryBudgetSettings
import java.net.InetSocketAddress

/**
 * One process of the packaged gateway with a small heap, its store, and two backend servers. One of them serves only ordinary requests,
 * so that these do not depend on what the router thinks of the other after failures.
 *
 * @param maxBodyBytes limit of the published configuration.
 * @param maxDescriptors descriptors that the gateway may have open; null for the limit of this process.
 * @param hasModelEngines whether the services of the published configuration are model engines.
 */
class IsolatedFixture(
    maxBodyBytes: Int = DEFAULT_MAX_BODY_BYTES,
    private val maxDescriptors: Int? = null,
    hasModelEngines: Boolean = false,
) : AutoCloseable {
    private val store = FakeStore().apply { waitsForChanges = true }
    private val ordinaryServer = StubServer()
    private val crowdServer = StubServer()
    private val settings = gatewaySettings()
    private val callersAddress = settings.callersAddress.let { InetSocketAddress(it.substringBefore(':'), it.substringAfter(':').toInt()) }
    private val ordinaryCaller = OrdinaryCaller(callersAddress)
    private val gateway: PackagedGateway

    /** Callers that do not follow the protocol. */
    val crowd: CallerCrowd = CallerCrowd(callersAddress)

    init {
        store.publishRoutes(
            ROUTES,
            FakeLimits(MAX_HEADER_BYTES, maxBodyBytes, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS),
            listOf(FakeTenant("tenant", API_KEY)),
            MAX_CONNECTIONS,
            serviceFields = if (hasModelEngines) MODEL_ENGINE_FIELDS else "",
        )
        store.registerServer("i-1", ordinaryServer.address, ORDINARY_SERVICE, slots = SLOTS)
        store.registerServer("i-2", crowdServer.address, slots = SLOTS)
        gateway = PackagedGateway.start(settings) { GatewayCommand.packaged.withSettings(it, HEAP_MB, maxDescriptors) }
    }

    /** Waits until the gateway serves an ordinary request. */
    fun awaitReady() {
        if (ordinaryCaller.awaitServed(ORDINARY_REQUEST)) return
        val output = gateway.outputLines("").takeLast(LOG_LINES)
        close()
        error("the gateway has not become ready: $output")
    }

    /**
     * Waits for the end of the crowd's traffic and returns what is wrong with the gateway then.
     *
     * @param form names the traffic in the record of the test.
     * @param maxOpenDescriptors bound of the descriptors that the gateway has open at any time.
     * @param mustCloseCrowd whether the gateway has to close all connections of the crowd.
     */
    fun faultsAfterTraffic(
        form: String,
        maxOpenDescriptors: Int,
        mustCloseCrowd: Boolean,
    ): List<String> {
        var descriptors = 0
        crowd.awaitQuiet(crowdServer::sentPartCount) { descriptors = maxOf(descriptors, gateway.descriptorCount ?: 0) }
        if (mustCloseCrowd) crowd.awaitAllClosed(CLOSE_TIMEOUT_MS)
        val isServed = ordinaryCaller.awaitServed(ORDINARY_REQUEST)
        val residentMb = gateway.peakResidentMb
        val isAlive = gateway.isAlive
        val openCount = crowd.openCount
        println(
            "form=$form alive=$isAlive served=$isServed peak_resident_mb=$residentMb peak_descriptors=$descriptors open=$openCount " +
                "sent_mb=${crowd.sentMb} output_lines=${gateway.outputLines(
                    "",
                ).size} out_of_memory=${gateway.outputLines(OUT_OF_MEMORY).size}",
        )
        return listOfNotNull(
            "the process has ended".takeUnless { isAlive },
            "an ordinary request is not served".takeUnless { isServed },
            "$residentMb MB resident, ${HEAP_MB + BEYOND_HEAP_MB} allowed".takeIf { (residentMb ?: 0) > HEAP_MB + BEYOND_HEAP_MB },
            "$descriptors descriptors, $maxOpenDescriptors allowed".takeIf { descriptors > maxOpenDescriptors },
            "$openCount connections are not closed".takeIf { mustCloseCrowd && openCount > 0 },
        )
    }

    override fun close() {
        crowd.close()
        gateway.close()
        ordinaryServer.close()
        crowdServer.close()
        store.close()
    }

    private fun gatewaySettings() =
        GatewaySettings(
            routerId = RouterId("r1"),
            vmId = VmId("vm1"),
            regionId = RegionId("region"),
            zoneId = ZoneId("z"),
            callersAddress = freeListenerAddress(),
            readinessAddress = freeListenerAddress(),
            metricsAddress = freeListenerAddress(),
            peersAddress = freeListenerAddress(),
            storeAddress = store.address,
            drainGraceS = 1.0,
            isFirstStart = true,
            retryBudget = RetryBudgetSettings(ratio = 0.2, slack = 10.0, windowS = 10.0),
        )

    /** Values of the published configuration, and a request that it serves. */
    companion object {
        /** API key of the only tenant. */
        const val API_KEY: String = "n2ctnfzs989anu6wsjnb"

        /** Limit of bodies in the operator's configuration. */
        const val DEFAULT_MAX_BODY_BYTES: Int = 4 * 1024 * 1024

        /** Limit of heads in the operator's configuration. */
        const val MAX_HEADER_BYTES: Int = 16_384

        // A gateway starts and serves with half of it. Less than a third of the deployed heap keeps the traffic of the tests small.
        private const val HEAP_MB = 64

        // What the smallest VM leaves beyond the heap of the deployment.
        private const val BEYOND_HEAP_MB = 90
        private const val ORDINARY_SERVICE = "ordinary"
        private const val HEADER_TIMEOUT_MS = 3_000L
        private const val IDLE_TIMEOUT_MS = 15_000L
        private const val MAX_CONNECTIONS = 360
        private const val SLOTS = 64
        private const val MODEL_ENGINE_FIELDS = ""","engine":{"stride":5,"slots":64}"""

        // Above the time in which a router closes a connection of any form, below that after which it closes every idle connection.
        private const val CLOSE_TIMEOUT_MS = 30_000L
        private const val LOG_LINES = 20
        private const val OUT_OF_MEMORY = "OutOfMemoryError"
        private const val TIMEOUT_MS = 60_000L
        private val ROUTES =
            listOf(
                FakeRoute("plain", "idempotent", TIMEOUT_MS, ORDINARY_SERVICE, isPublic = false),
                FakeRoute("working", "idempotent", TIMEOUT_MS),
                FakeRoute("events", "streaming", TIMEOUT_MS),
                FakeRoute("flood", "streaming", TIMEOUT_MS),
                FakeRoute("unending-event", "streaming", TIMEOUT_MS),
                FakeRoute("unending-failure", "idempotent", TIMEOUT_MS),
                FakeRoute("large", "idempotent", TIMEOUT_MS),
            )

        /** A request with a key and a body, for the server that serves nothing else. */
        val ORDINARY_REQUEST: ByteArray =
            (requestHead("POST", "/plain/", "Authorization: Bearer $API_KEY", "Content-Length: 4") + "body").encodeToByteArray()
    }
}

/** Head of a request for [path] with [headers]. */
fun requestHead(
    method: String,
    path: String,
    vararg headers: String,
): String = "$method $path HTTP/1.1\r\nHost: h\r\n$REQUEST_ID_HEADER: 1\r\n" + headers.joinToString("") { "$it\r\n" } + "\r\n"
