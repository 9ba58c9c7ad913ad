package org.lycheemount.caller

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class DrainStateTest {
    private val drain = DrainState()

    private fun awaitIdle() = runBlocking { withTimeout(1_000) { drain.awaitIdle() } }

    @Nested
    inner class `a process that drains` {
        @Test
        fun `admits requests that expire before it exits, guarding against refusals while all routers of a zone are restarted`() {
            assertTrue(drain.tryAdmit())
            drain.startDraining(admittedUntilMs = 5_000)

            assertTrue(drain.tryAdmit(expiresAtMs = 5_000))
        }

        @Test
        fun `refuses requests that may outlast it, guarding against truncated responses`() {
            assertTrue(drain.tryAdmit())
            drain.startDraining(admittedUntilMs = 5_000)

            assertFalse(drain.tryAdmit(expiresAtMs = 5_001))
            assertFalse(drain.tryAdmit())
        }

        @Test
        fun `refuses everything once it has been idle, guarding against requests that arrive while it exits`() {
            assertTrue(drain.tryAdmit())
            drain.startDraining(admittedUntilMs = 5_000)
            assertTrue(drain.tryAdmit(expiresAtMs = 1_000))
            drain.release()
            drain.release()

            awaitIdle()
            assertFalse(drain.tryAdmit(expiresAtMs = 1_000))
        }

        @Test
        fun `refuses everything when it was idle from the start`() {
            drain.startDraining(admittedUntilMs = 5_000)

            awaitIdle()
            assertFalse(drain.tryAdmit(expiresAtMs = 1_000))
        }
    }
}
