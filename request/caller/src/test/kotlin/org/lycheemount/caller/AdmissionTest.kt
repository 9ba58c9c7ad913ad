package org.lycheemount.caller

import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.runBlocking
import kotlinx.io.readString
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.caller.RouterFixture.Companion.LONG_STREAM_TIMEOUTS
import org.lycheemount.caller.RouterFixture.Companion.expectedTokens
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.TeamId
import org.lycheemount.config.TeamLimits
import org.lycheemount.testing.sha256Hex
import java.net.Socket
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class AdmissionTest {
    private val router = RouterFixture(limits = CallerLimits(maxBodyBytes = 2_000, streamTimeouts = LONG_STREAM_TIMEOUTS))
    private val engine =
        ScriptedEngine("e1") { listOf(ScriptStep.Send(0, 2), ScriptStep.AwaitGate, ScriptStep.Send(2, 5), ScriptStep.Finish("stop")) }

    @AfterEach
    fun close() = listOf(router, engine).forEach { it.close() }

    @Nested
    inner class `a shutdown with an open stream` {
        @Test
        fun `fails readiness, refuses new work as not run and lets the stream finish`() =
            runBlocking<Unit> {
                router.setBackendServers(engine)

                router.openStream().execute { response ->
                    val channel = response.bodyAsChannel()
                    val start = channel.readUTF8Line().orEmpty()
                    router.drain.announceShutdown()
                    assertEquals(
                        503,
                        router.client
                            .get(router.url("/health/ready"))
                            .status.value,
                    )
                    router.drain.startDraining()
                    val refused = router.chat()
                    assertEquals(503 to "not-run", refused.status.value to refused.headers[OUTCOME_HEADER])
                    assertContains(refused.bodyAsText(), "\"reason\":\"draining\"")

                    engine.openGate()

                    assertEquals(expectedTokens(5), deltas(start + channel.readRemaining().readString()))
                }
                router.drain.awaitIdle()
                assertEquals(1, router.ledger.bills.size)
            }
    }

    @Nested
    inner class `limits of a team` {
        @Test
        fun `refuse with 429 and Retry-After, and do not affect other teams`() =
            runBlocking<Unit> {
                RouterFixture(teamLimits = TeamLimits(concurrentRequests = 1)).use { limited ->
                    limited.setBackendServers(engine)

                    limited.openStream().execute { response ->
                        response.bodyAsChannel().readUTF8Line()
                        val refused = limited.chat()
                        assertEquals(429 to "1", refused.status.value to refused.headers[HttpHeaders.RetryAfter])
                        engine.openGate()
                        assertEquals(200, limited.chat(key = "key2").status.value)
                    }
                }
            }

        @Test
        fun `admit a burst of one second's requests and then the configured rate`() {
            val limiter = TeamLimiter()
            val limits = TeamLimits(requestsPerSecond = 2.0, concurrentRequests = 10)
            val team = TeamId("t")

            val outcomes = List(3) { limiter.tryAcquire(team, limits, nowMs = 0) }

            assertEquals(listOf(null, null, RefusalReason.RATE_LIMITED), outcomes.map { it?.reason })
            assertEquals(500, outcomes.last()?.retryAfterMs)
            assertNull(limiter.tryAcquire(team, limits, nowMs = 500))
        }
    }

    @Nested
    inner class `retries when every server fails` {
        @Test
        fun `stay within a fifth of the requests, so that they do not multiply the load`() {
            val budget = RetryBudget()

            val retries = (1..1_000).count { budget.onRequest().let { budget.tryRetry() } }

            assertTrue(retries in 200..211, "retries: $retries")
        }
    }

    @Nested
    inner class `invalid input` {
        @Test
        fun `is refused with the field and the accepted range`() =
            runBlocking<Unit> {
                val zeroMaxTokens = """{"model":"m1","messages":[{"role":"user"}],"max_tokens":0}"""
                val bodies = listOf("{", """{"model":"m1","messages":[]}""", zeroMaxTokens)

                val responses = bodies.map { post(it) }

                assertEquals(listOf(400, 400, 400), responses.map { it.status.value })
                assertContains(responses[2].bodyAsText(), "max_tokens: accepted are 1 or more")
            }

        @Test
        fun `with a number out of range is refused as not run, guarding against work for a number that nobody sent`() =
            runBlocking<Unit> {
                val start = """{"model":"m1","messages":[{"role":"user"}],"""
                val numbers =
                    listOf(
                        """"max_tokens":-1""",
                        """"max_tokens":99999999999""",
                        """"max_tokens":1e400""",
                        """"n":2""",
                        """"n":2000000000""",
                    )
                val deadlines = listOf("0", "-1", "86400001", "99999999999999999999", "1e300", "soon")

                val responses = numbers.map { post("$start$it}") } + deadlines.map { post("$start\"n\":1}", deadlineMs = it) }

                responses.forEach { assertEquals(400 to "not-run", it.status.value to it.headers[OUTCOME_HEADER], it.bodyAsText()) }
            }

        @Test
        fun `generated at random is refused as not run and leaves no request in progress`() =
            runBlocking<Unit> {
                val random = Random(SEED)
                val valid = """{"model":"m1","messages":[{"role":"user","content":"hello"}],"max_tokens":5}"""
                repeat(FUZZED_BODIES) {
                    val cut = random.nextInt(1, valid.length)
                    val noise = String(CharArray(random.nextInt(1, 20)) { random.nextInt(1, 0x2FF).toChar() })
                    // The unbalanced quotation mark makes the JSON invalid whatever the noise is.
                    val body = valid.take(cut) + noise + "\"{"

                    val response = post(body)

                    assertEquals(400 to "not-run", response.status.value to response.headers[OUTCOME_HEADER], body)
                }
                assertContains(router.client.get(router.url("/state")).bodyAsText(), "\"requestsInProgress\":0")
            }

        @Test
        fun `that is too large is refused with 413, and other requests are still served`() =
            runBlocking<Unit> {
                val response = post("x".repeat(3_000))

                assertEquals(413, response.status.value)
                assertEquals(
                    200,
                    router.client
                        .get(router.url("/health/live"))
                        .status.value,
                )
            }

        @Test
        fun `that arrives too slowly is refused with 408 and disconnected, and other requests are still served`() =
            runBlocking<Unit> {
                val shortIdleRouter = RouterFixture(limits = CallerLimits(bodyTimeoutMs = 200), idleTimeoutS = 1)
                Socket("127.0.0.1", shortIdleRouter.port()).use { socket ->
                    val headers = "Host: x\r\nAuthorization: Bearer key1\r\nContent-Length: 500\r\n\r\n"
                    socket.getOutputStream().write("POST ${RouterFixture.CHAT} HTTP/1.1\r\n$headers{".encodeToByteArray())
                    val response = socket.getInputStream().readAllBytes().decodeToString()
                    assertContains(response, "408")
                }
                assertEquals(
                    200,
                    shortIdleRouter.client
                        .get(shortIdleRouter.url("/health/live"))
                        .status.value,
                )
                shortIdleRouter.close()
            }
    }

    @Nested
    inner class `the state dump` {
        @Test
        fun `contains no bearer key and no key hash`() =
            runBlocking<Unit> {
                val state = router.client.get(router.url("/state")).bodyAsText()

                assertContains(state, "\"requestsInProgress\":0")
                assertFalse("key1" in state.replace("team-key1", ""))
                assertFalse(sha256Hex("key1") in state)
            }
    }

    private suspend fun post(
        body: String,
        deadlineMs: String? = null,
    ) = router.client.post(router.url(RouterFixture.CHAT)) {
        bearerAuth("key1")
        deadlineMs?.let { header("x-lycheemount-deadline-ms", it) }
        setBody(body)
    }

    private companion object {
        private const val SEED = 7
        private const val FUZZED_BODIES = 300
    }
}
