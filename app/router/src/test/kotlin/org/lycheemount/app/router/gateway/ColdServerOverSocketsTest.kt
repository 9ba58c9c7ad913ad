package org.lycheemount.app.router.gateway

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
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
        settings.forEach { awaitServed(it.callersAddress) }
        val joinedAtMs = nowMs()
        val server = fixture.AdditionalServer("i-cold", coldRemainingMs = coldRemainingMs)

        var requests = 0
        var durationMs = 0L
        runBlocking {
            var count = 0
            while (durationMs < DURATION_MS || (requests == 0 && durationMs < MAX_DURATION_MS)) {
                val address = settings[count++ % ROUTERS].callersAddress
                launch(Dispatchers.IO) { send(address) }
                delay(REQUEST_INTERVAL_MS)
                requests = server.requestCount.get()
                durationMs = nowMs() - joinedAtMs
            }
            processes.map { async(Dispatchers.IO) { it.stop() } }.awaitAll()
        }

        assertTrue(requests in 1..COLD_PER_S * durationMs / 1_000 + EXCESS_REQUESTS, "$requests requests in $durationMs ms")
    }

    private fun nowMs() = System.nanoTime() / 1_000_000

    private companion object {
        private const val COLD_PER_S = 4
        private const val ROUTERS = 3
        private const val DURATION_MS = 4_000L
        private const val MAX_DURATION_MS = 60_000L
        private const val REQUEST_INTERVAL_MS = 25L

        // What the routers may send beyond the rate before they know of each other's requests.
        private const val EXCESS_REQUESTS = 24
    }
}
