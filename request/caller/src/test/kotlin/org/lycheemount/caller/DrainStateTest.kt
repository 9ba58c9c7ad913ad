package org.lycheemount.caller

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.test.fail

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

    @Nested
    inner class `when the process is about to exit` {
        @Test
        fun `running work is cancelled, guarding against connections that are closed without a response`() =
            runBlocking {
                val work = async { runCatching { coroutineScope { drain.cancelAtEnd { awaitCancellation() } } } }
                yield()

                assertEquals(1, drain.endRequests())
                assertIs<ShutdownException>(work.await().exceptionOrNull())
                Unit
            }

        @Test
        fun `work that starts later is not run`() =
            runBlocking {
                drain.endRequests()

                assertFailsWith<ShutdownException> { coroutineScope { drain.cancelAtEnd { fail("this work must not run") } } }
                Unit
            }

        @Test
        fun `work that has ended is left alone`() =
            runBlocking {
                coroutineScope { drain.cancelAtEnd { } }

                assertEquals(0, drain.endRequests())
            }
    }
}
