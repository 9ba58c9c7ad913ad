package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Streams that end at about the moment at which their work is cancelled, over real sockets, many at a time. */
internal class StreamEndSoakTest : RoutedFixture() {
    private val early = CopyOnWriteArrayList<String>()

    /** Streams five events, the last of them and the end [lastAtMs] after the head. */
    private fun RawServer.Connection.streamUntil(
        lastAtMs: Long,
        burst: Int,
    ) {
        val startedAtNs = System.nanoTime()
        startStream()
        repeat(EVENTS - burst) { event(it + 1) }
        while (System.nanoTime() - startedAtNs < lastAtMs * 1_000_000) Thread.sleep(0, 200_000)
        runCatching {
            repeat(burst) { event(EVENTS - burst + it + 1) }
            endStream()
        }
    }

    private fun checkNoneEndsEarly(
        seed: Int,
        round: (Random) -> Unit,
    ) {
        val random = Random(seed)
        repeat(ROUNDS) { round(random) }
        assertEquals(emptyList(), early.toList(), "seed $seed")
    }

    private fun callAll(path: String): List<Thread> =
        List(STREAMS) {
            thread {
                val response = exchange(path)
                if (response.endsWith("0\r\n\r\n") && "id: $EVENTS\n" !in response) early += response
            }
        }

    @Nested
    inner class `streams that end at their timeout` {
        @Test
        fun `are never ended before their last event, guarding against a stream that looks complete`() {
            for (seed in SEEDS) {
                checkNoneEndsEarly(seed) { random ->
                    repeat(STREAMS) {
                        val lastAtMs = TIMEOUT_MS - random.nextLong(0, 30)
                        val burst = random.nextInt(1, EVENTS + 1)
                        first.enqueue { streamUntil(lastAtMs, burst) }
                        second.enqueue { streamUntil(lastAtMs, burst) }
                    }
                    callAll("/brief/1").forEach { it.join() }
                }
            }
        }
    }

    private companion object {
        private const val EVENTS = 5
        private const val STREAMS = 40
        private const val ROUNDS = 5
        private const val TIMEOUT_MS = 1_000L
        private val SEEDS = 1..2
    }
}
