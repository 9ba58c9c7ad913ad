package org.lycheemount.app.isolated

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The store comes back from a copy without a version of the configuration that all gateways had in force. */
class RestoredStoreTest {
    @Nested
    inner class `a gateway that restarts while the store comes back` : IsolatedGatewayTest() {
        @Test
        fun `serves by the newest version once it has reached a peer, guarding against a confirmed change that is undone`() =
            RestoredStoreFixture().use { fleet ->
                fleet.start()
                fleet.restartInRestoredStore { fleet.publishLater() }

                assertTrue(fleet.servesAddedRoute(RESTARTED), "a route that was added is not served: ${fleet.configurations()}")

                val earlierRequestCount = fleet.earlierRequestCount
                assertEquals(REQUESTS, fleet.sendMovedRequests(RESTARTED, REQUESTS))
                assertEquals(REQUESTS, fleet.sendMovedRequests(RUNNING, REQUESTS))
                assertEquals(0, fleet.earlierRequestCount - earlierRequestCount, "requests run by the older version")
                assertTrue(fleet.servesAddedRoute(RUNNING), "a route that was added is no longer served")
                assertTrue(fleet.outputLines(RESTARTED, "event=configuration_read version=1 ").isNotEmpty(), "the store was not restored")
            }
    }

    private fun RestoredStoreFixture.configurations() = outputLines(RESTARTED, "configuration")

    private companion object {
        private const val RUNNING = 0
        private const val RESTARTED = 1
        private const val REQUESTS = 50
    }
}
