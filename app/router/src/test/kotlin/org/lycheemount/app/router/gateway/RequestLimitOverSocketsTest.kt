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

class RequestLimitOverSocketsTest {
    private val fixture = GatewayFixture()

    @AfterEach
    fun closeFixture() = fixture.close()

    @Nested
    inner class `a server that names a request limit to several routers` {
        @Test
        fun `gets no more than that from all of them, guarding against routers that each send as much as the limit`() {
            fixture.requestLimitText = "$LIMIT_PER_S"
            val settings = (1..ROUTERS).map { fixture.settings(drainGraceS = 1.0, index = it) }
            val processes = settings.map { GatewayProcess(it) }.onEach { runBlocking { it.start() } }

            // The routers learn the limit from their first responses, and what is left of it from each other.
            settings.forEach { awaitServed(it.callersAddress) }
            Thread.sleep(LEARNING_MS)
            fixture.plainArrivalTimesMs.clear()

            var latenessMs = 0L
            runBlocking {
                repeat(DURATION_MS / REQUEST_INTERVAL_MS) { count ->
                    launch(Dispatchers.IO) { send(settings[count % ROUTERS].callersAddress) }
                    val startedAtMs = nowMs()
                    delay(REQUEST_INTERVAL_MS.toLong())
                    latenessMs = maxOf(latenessMs, nowMs() - startedAtMs - REQUEST_INTERVAL_MS)
                }
                processes.map { async(Dispatchers.IO) { it.stop() } }.awaitAll()
            }

            val times = fixture.plainArrivalTimesMs.sorted()
            val most = times.maxOf { lastMs -> times.count { it in lastMs - WINDOW_MS..lastMs } }
            // A request may reach the server as late as the threads of this process run on a busy machine.
            val windowMs = WINDOW_MS + latenessMs
            assertTrue(most <= LIMIT_PER_S * windowMs / 1_000 * 3 / 2 + 5, "$most requests in $WINDOW_MS ms, lateness $latenessMs ms")
        }
    }

    private fun nowMs() = System.nanoTime() / 1_000_000

    private companion object {
        private const val LIMIT_PER_S = 2
        private const val ROUTERS = 3
        private const val DURATION_MS = 7_000
        private const val REQUEST_INTERVAL_MS = 25
        private const val LEARNING_MS = 2_000L
        private const val WINDOW_MS = 4_000
    }
}
