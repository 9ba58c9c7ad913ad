package org.lycheemount.app.router.gateway

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.IOException
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertTrue

class ColdServerOverSocketsTest {
    private val fixture = GatewayFixture(serviceFields = ""","cold_s":60,"cold_per_s":$COLD_PER_S""")

    @AfterEach
    fun closeFixture() = fixture.close()

    @Nested
    inner class `a cold server that joins while several routers serve` {
        @Test
        fun `gets some requests and no more than its rate, guarding against routers that all send to an idle server`() {
            assertRateKept(coldRemainingMs = 60_000)
        }

        @Test
        fun `whose row does not say how cold it is gets no more than that either`() {
            assertRateKept(coldRemainingMs = null)
        }
    }

    private fun assertRateKept(coldRemainingMs: Long?) {
        val settings = (1..ROUTERS).map { fixture.settings(drainGraceS = 1.0, index = it) }
        val processes = settings.map { GatewayProcess(it) }.onEach { runBlocking { it.start() } }

        val requests =
            runBlocking {
                var server: GatewayFixture.AdditionalServer? = null
                repeat(DURATION_MS / REQUEST_INTERVAL_MS) { count ->
                    if (count == JOINS_AT_MS / REQUEST_INTERVAL_MS) {
                        server = fixture.AdditionalServer("i-cold", coldRemainingMs = coldRemainingMs)
                    }
                    launch(Dispatchers.IO) { send(settings[count % ROUTERS].callersAddress) }
                    delay(REQUEST_INTERVAL_MS.toLong())
                }
                val requests = checkNotNull(server).requestCount.get()
                processes.map { async(Dispatchers.IO) { it.stop() } }.awaitAll()
                requests
            }

        // Loops and delays may be late on a busy machine, so the bound is on the rate over the longest time that is expected.
        assertTrue(requests in 1..COLD_PER_S * MAX_DURATION_MS / 1_000, "$requests requests")
    }

    /** Sends a request and reads the response, unless the router does not listen yet. */
    private fun send(address: String) {
        try {
            Socket().use { socket ->
                socket.connect(socketAddressOf(address))
                socket.getOutputStream().write(callerRequest("/plain/"))
                socket.getInputStream().read()
            }
        } catch (_: IOException) {
            return
        }
    }

    private companion object {
        private const val COLD_PER_S = 4
        private const val ROUTERS = 3
        private const val JOINS_AT_MS = 5_000
        private const val DURATION_MS = 9_000
        private const val MAX_DURATION_MS = 10_000
        private const val REQUEST_INTERVAL_MS = 25
    }
}
