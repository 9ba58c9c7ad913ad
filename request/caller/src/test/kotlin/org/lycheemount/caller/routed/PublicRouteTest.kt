package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import org.lycheemount.testing.FakeClock
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals

internal class PublicRouteTest : RoutedFixture(FakeClock()) {
    private val clock = handlerClock as FakeClock
    private val refusals get() = log.events.filter { (name, _) -> name == "request_refused" }.map { (_, fields) -> fields["reason"] }

    private fun statusOf(response: String) = response.substringBefore("\r\n").substringAfter(' ').substringBefore(' ')

    @Nested
    inner class `requests of a public route` {
        @Test
        fun `are all served in one moment, guarding against a rate limit that no operator has set`() {
            val responses =
                List(REQUESTS) {
                    first.enqueue(completeResponse("ok"))
                    exchange("/public/$it")
                }

            assertEquals(emptyList(), refusals)
            assertEquals(List(REQUESTS) { "200" }, responses.map(::statusOf))
        }

        @Test
        fun `are served while others are held open, guarding against a limit that a single caller uses up for all`() {
            val release = CountDownLatch(1)
            val requests =
                List(HELD_REQUESTS + 1) {
                    first.enqueue { release.await().also { completeResponse("ok")() } }
                    // So slow that no limit on their rate is met.
                    clock.advance(MS_BETWEEN_REQUESTS)
                    val request = open("/public/$it", "Connection: close")
                    await { first.requests.size + refusals.size > it }
                    request
                }

            release.countDown()

            assertEquals(emptyList(), refusals)
            assertEquals(List(requests.size) { "200" }, requests.map { statusOf(it.readResponse()) })
        }

        private fun Socket.readResponse() = use { it.getInputStream().readAllBytes().decodeToString() }
    }

    private companion object {
        private const val REQUESTS = 200
        private const val HELD_REQUESTS = 256
        private const val MS_BETWEEN_REQUESTS = 20L
    }
}
