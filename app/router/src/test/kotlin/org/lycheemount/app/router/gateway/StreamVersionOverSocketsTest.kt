package org.lycheemount.app.router.gateway

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.platform.adapter.testing.LAST_EVENT_ID_HEADER
import org.lycheemount.platform.adapter.testing.REQUEST_ID_HEADER
import org.lycheemount.platform.adapter.testing.RESUMED_REQUEST_ID_HEADER
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StreamVersionOverSocketsTest {
    private val fixture = GatewayFixture()
    private val servers = listOf("v1", "v2").associateWith { fixture.startVersionedServer(it) }
    private val processes = ArrayList<GatewayProcess>()
    private var requestCount = 0

    @AfterEach
    fun closeFixture() {
        runBlocking { processes.forEach { launch(Dispatchers.IO) { it.stop() } } }
        fixture.close()
    }

    @Nested
    inner class `a stream that broke off while servers of two versions serve` {
        @Test
        fun `goes on at the version that began it when it is resumed at the same gateway`() {
            val gateway = startGateway(index = 1)

            val begun = beginStreams(gateway)

            assertGoOnAtTheirVersions(gateway, begun)
        }

        @Test
        fun `goes on at the version that began it when it is resumed at another gateway`() {
            val gateway = startGateway(index = 1)
            val other = startGateway(index = 2)

            val begun = beginStreams(gateway)

            assertGoOnAtTheirVersions(other, begun)
        }

        @Test
        fun `goes on at the version that began it when it is resumed after the only gateway was started anew`() {
            val gateway = startGateway(index = 1)
            val begun = beginStreams(gateway)

            runBlocking { processes.removeAt(0).stop() }
            val restarted = startGateway(index = 1)

            assertGoOnAtTheirVersions(restarted, begun)
        }

        @Test
        fun `is refused and reaches no server when its caller does not name the attempt that began it`() {
            val gateway = startGateway(index = 1)
            val begun = beginStreams(gateway)

            val response = send(gateway, "$LAST_EVENT_ID_HEADER: ${VersionedStreamServer.PART_EVENTS}")

            assertTrue(response.startsWith(NOT_RUN), response)
            assertContains(response, "the software version of the stream is unknown")
            assertEquals(mapOf("v1" to 0, "v2" to 0), resumptionCounts())
            assertGoOnAtTheirVersions(gateway, begun)
        }
    }

    /** Starts a gateway and returns its address for callers. */
    private fun startGateway(index: Int): String {
        val settings = fixture.settings(drainGraceS = 1.0, index = index)
        processes += GatewayProcess(settings).apply { runBlocking { start() } }
        return settings.callersAddress
    }

    /** Begins streams until one of each version has broken off, and returns the id of the attempt that began it by version. */
    private fun beginStreams(gateway: String): Map<String, String> {
        val begun = LinkedHashMap<String, String>()
        poll("streams on both versions") {
            val response = send(gateway)
            val version = servers.keys.singleOrNull { eventsOf(response) == events(1..VersionedStreamServer.PART_EVENTS, it) }
            if (version != null && !looksComplete(response)) {
                begun.putIfAbsent(version, "$requestCount")
                servers.getValue(version).breaksOff = false
            }
            begun.size == servers.size
        }
        return begun
    }

    /** Resumes the streams [begun] once each, except for attempts that [gateway] refuses as not run. */
    private fun assertGoOnAtTheirVersions(
        gateway: String,
        begun: Map<String, String>,
    ) {
        val expectedCounts = resumptionCounts().toMutableMap()
        for ((version, attemptId) in begun) {
            val response = resume(gateway, attemptId)

            val rest = VersionedStreamServer.PART_EVENTS + 1..VersionedStreamServer.STREAM_EVENTS
            assertEquals(events(rest, version), eventsOf(response), response)
            assertTrue(looksComplete(response), response)
            expectedCounts.merge(version, 1, Int::plus)
            assertEquals(expectedCounts, resumptionCounts().toMutableMap())
        }
    }

    /** Resumes the stream that [attemptId] began until the gateway listens and does not refuse it as not run. */
    private fun resume(
        gateway: String,
        attemptId: String,
    ): String {
        var response = ""
        poll("the stream to go on") {
            response =
                send(gateway, "$LAST_EVENT_ID_HEADER: ${VersionedStreamServer.PART_EVENTS}", "$RESUMED_REQUEST_ID_HEADER: $attemptId")
            response.isNotEmpty() && !response.startsWith(NOT_RUN)
        }
        return response
    }

    private fun resumptionCounts(): Map<String, Int> = servers.mapValues { it.value.resumptionCount.get() }

    private fun events(
        ids: IntRange,
        version: String,
    ): List<Pair<Int, String>> = ids.map { it to version }

    private fun eventsOf(response: String): List<Pair<Int, String>> =
        EVENT.findAll(response).map { it.groupValues[1].toInt() to it.groupValues[2] }.toList()

    private fun looksComplete(response: String) = response.endsWith("0\r\n\r\n")

    private fun poll(
        description: String,
        isMet: () -> Boolean,
    ) = runBlocking {
        try {
            withTimeout(WAIT_MS) { while (!isMet()) delay(POLL_INTERVAL_MS) }
        } catch (exception: TimeoutCancellationException) {
            throw AssertionError("waited in vain for $description", exception)
        }
    }

    /** Sends a request with an id of its own and returns what arrives of the response, or nothing unless the router listens. */
    private fun send(
        address: String,
        vararg headers: String,
    ): String {
        val head = listOf("GET /versioned/ HTTP/1.1", "Host: h", "$REQUEST_ID_HEADER: ${++requestCount}", "Connection: close") + headers
        val received = ByteArrayOutputStream()
        try {
            Socket().use { socket ->
                socket.soTimeout = WAIT_MS.toInt()
                socket.connect(socketAddressOf(address))
                socket.getOutputStream().write((head.joinToString("\r\n") + "\r\n\r\n").encodeToByteArray())
                socket.getInputStream().transferTo(received)
            }
        } catch (_: IOException) {
            // A response that breaks off may end so.
        }
        return received.toString(Charsets.UTF_8)
    }

    private companion object {
        private const val NOT_RUN = "HTTP/1.1 503"
        private const val WAIT_MS = 20_000L
        private const val POLL_INTERVAL_MS = 20L
        private val EVENT = Regex("id: (\\d+)\ndata: (\\w+)\n")
    }
}
