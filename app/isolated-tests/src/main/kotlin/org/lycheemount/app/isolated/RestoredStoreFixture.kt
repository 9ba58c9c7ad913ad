package org.lycheemount.app.isolated

import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.adapter.testing.FakeRoute
import org.lycheemount.platform.adapter.testing.FakeStore
import org.lycheemount.platform.adapter.testing.freeListenerAddress
import org.lycheemount.platform.adapter.testing.publishRoutes
import org.lycheemount.platform.adapter.testing.registerServer
import org.lycheemount.settings.GatewaySettings
import org.lycheemount.settings.RetryBudgetSettings
import java.net.InetSocketAddress

/**
 * Two processes of the packaged gateway, a store that can come back from an older copy, and a backend server for each of the two versions
 * of the configuration. The newer version moves a route to another service and adds a route.
 */
class RestoredStoreFixture : AutoCloseable {
    private val store = FakeStore().apply { waitsForChanges = true }
    private val earlierServer = StubServer()
    private val laterServer = StubServer()
    private val gateways = List(GATEWAY_COUNT) { Gateway(it) }

    /** Number of requests that were run by the service of the older version. */
    val earlierRequestCount: Long get() = earlierServer.requestCount

    init {
        store.registerServer("i-1", earlierServer.address, EARLIER_SERVICE)
        store.registerServer("i-2", laterServer.address, LATER_SERVICE)
        publishEarlier()
    }

    /** Starts all gateways and waits until each serves by the older version. */
    fun start() {
        gateways.forEach { it.start() }
        gateways.forEach { it.await(MOVED_REQUEST) }
    }

    /** Publishes the newer version and waits until all gateways serve by it. */
    fun publishLater() {
        store.publishRoutes(
            listOf(route(MOVED_ROUTE, LATER_SERVICE), route(ADDED_ROUTE, LATER_SERVICE)),
            version = LATER_VERSION,
        )
        gateways.forEach { it.await(ADDED_REQUEST) }
    }

    /** Has the store come back from the copy that [beforeLoss] begins with, while the last gateway is being restarted. */
    fun restartInRestoredStore(beforeLoss: () -> Unit) {
        val copy = store.copy()
        beforeLoss()
        gateways.last().stop()
        store.comeBackFrom(copy, eraHeader = "2")
        gateways.last().start()
    }

    /** Whether gateway [index] serves the added route before a deadline that only a permanent fault exceeds. */
    fun servesAddedRoute(index: Int): Boolean = gateways[index].caller.awaitServed(ADDED_REQUEST)

    /** Number of the [count] requests for the moved route that gateway [index] serves. */
    fun sendMovedRequests(
        index: Int,
        count: Int,
    ): Int = (1..count).count { gateways[index].caller.awaitServed(MOVED_REQUEST) }

    /** Lines of the output of gateway [index] that contain [text], since it was started last. */
    fun outputLines(
        index: Int,
        text: String,
    ): List<String> = gateways[index].outputLines(text)

    override fun close() {
        gateways.forEach { it.stop() }
        earlierServer.close()
        laterServer.close()
        store.close()
    }

    private fun publishEarlier() = store.publishRoutes(listOf(route(MOVED_ROUTE, EARLIER_SERVICE)))

    private fun route(
        name: String,
        service: String,
    ) = FakeRoute(name, "idempotent", TIMEOUT_MS, service)

    private inner class Gateway(
        index: Int,
    ) {
        private val settings =
            GatewaySettings(
                routerId = RouterId("r$index"),
                vmId = VmId("vm$index"),
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
        private var process: PackagedGateway? = null
        val caller =
            OrdinaryCaller(settings.callersAddress.let { InetSocketAddress(it.substringBefore(':'), it.substringAfter(':').toInt()) })

        fun start() {
            process = PackagedGateway.start(settings) { GatewayCommand.packaged.withSettings(it, HEAP_MB, maxDescriptors = null) }
        }

        fun stop() {
            process?.close()
            process = null
        }

        fun await(request: ByteArray) {
            if (!caller.awaitServed(request)) error("${settings.routerId} does not serve: ${outputLines("").takeLast(LOG_LINES)}")
        }

        fun outputLines(text: String): List<String> = process?.outputLines(text).orEmpty()
    }

    private companion object {
        private const val GATEWAY_COUNT = 2
        private const val EARLIER_SERVICE = "earlier"
        private const val LATER_SERVICE = "later"
        private const val LATER_VERSION = 2L
        private const val MOVED_ROUTE = "plain"
        private const val ADDED_ROUTE = "added"
        private const val TIMEOUT_MS = 60_000L
        private const val HEAP_MB = 64
        private const val LOG_LINES = 20
        private val MOVED_REQUEST = requestHead("GET", "/$MOVED_ROUTE/").encodeToByteArray()
        private val ADDED_REQUEST = requestHead("GET", "/$ADDED_ROUTE/").encodeToByteArray()
    }
}
