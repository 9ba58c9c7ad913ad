package org.lycheemount.peer.socket

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withTimeout
import org.lycheemount.testing.FakeEventLog
import java.io.IOException
import java.nio.channels.ClosedChannelException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class AcceptorTest {
    private val log = FakeEventLog()

    @Test
    fun `a connection that cannot be accepted does not end the listener, guarding against a lack of descriptors`() =
        runBlocking {
            val accepted = CompletableDeferred<String>()
            val listener = ScriptedListener(listOf({ throw IOException("Too many open files") }, { "connection" }))

            supervisorScope {
                val accepting = launch { acceptAll(log, listener::accept) { accepted.complete(it) } }
                accepting.invokeOnCompletion { accepted.completeExceptionally(IllegalStateException("the listener has ended")) }

                assertEquals("connection", withTimeout(TIMEOUT_MS) { accepted.await() })
                assertEquals(listOf("peer_link_not_accepted"), log.events.map { it.first })
                accepting.cancelAndJoin()
            }
        }

    @Test
    fun `a listener that is closed ends`() {
        val listener = ScriptedListener(listOf({ throw ClosedChannelException() }))

        assertFailsWith<ClosedChannelException> { runBlocking { acceptAll(log, listener::accept) {} } }
    }

    private class ScriptedListener(
        steps: List<() -> String>,
    ) {
        private val remaining = ArrayDeque(steps)

        suspend fun accept(): String = remaining.removeFirstOrNull()?.invoke() ?: awaitCancellation()
    }

    private companion object {
        private const val TIMEOUT_MS = 10_000L
    }
}
