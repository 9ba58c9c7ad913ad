package org.lycheemount.app.isolated

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.test.assertEquals

/** Callers within the limits, for which no bound against other callers may be too tight. */
class OrdinaryCallersTest {
    @Nested
    inner class `a gateway without other load` : IsolatedGatewayTest() {
        @Test
        fun `serves a body at the limit, guarding against bounds that refuse a single request within the limits`() {
            val status = AtomicReference<Int?>()
            val hasEnded = CountDownLatch(1)
            assertWithstands("single-body") {
                startCallers(1) { open ->
                    open().run { status.set(sendBody(IsolatedFixture.DEFAULT_MAX_BODY_BYTES)) }
                    hasEnded.countDown()
                }
                hasEnded.await(HANG_TIMEOUT_S, TimeUnit.SECONDS)
            }

            assertEquals(200, status.get())
        }

        @Test
        fun `serves callers that reuse their connections, guarding against a memory bound that no gateway keeps to`() =
            assertWithstands("ordinary") {
                open(CONNECTIONS) { sendOrdinaryRequests(REQUESTS_EACH) }
            }
    }

    private companion object {
        private const val CONNECTIONS = 40
        private const val REQUESTS_EACH = 200
        private const val HANG_TIMEOUT_S = 60L
    }
}
