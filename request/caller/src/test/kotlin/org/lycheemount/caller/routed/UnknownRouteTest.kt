package org.lycheemount.caller.routed

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

internal class UnknownRouteTest : RoutedFixture() {
    @Nested
    inner class `a request for an unknown route` {
        @Test
        fun `is refused with 404 once the configuration is current`() {
            assertContains(exchange("/unknown/").lineSequence().first(), "404")
        }

        @Test
        fun `is refused as not run while the configuration may be outdated`() {
            refreshConfiguration = { false }

            assertContains(exchange("/unknown/").lineSequence().first(), "503")
        }

        @Test
        fun `gets a response before a shutdown ends, guarding against requests that are cut while they wait for a configuration`() {
            val isWaiting = CompletableDeferred<Unit>()
            refreshConfiguration = {
                isWaiting.complete(Unit)
                awaitCancellation()
            }
            val response = CompletableFuture.supplyAsync { exchange("/unknown/") }
            runBlocking { withTimeout(WAIT_MS) { isWaiting.await() } }

            drain.startDraining()
            assertEquals(1, drain.requestsInProgress)
            drain.endRequests()

            assertContains(response.get().lineSequence().first(), "503")
            assertEquals(0, drain.requestsInProgress)
        }
    }

    private companion object {
        private const val WAIT_MS = 20_000L
    }
}
