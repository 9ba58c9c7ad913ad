package org.lycheemount.caller

import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.caller.RouterFixture.Companion.LONG_STREAM_TIMEOUTS
import org.lycheemount.caller.RouterFixture.Companion.PROMPT_TOKENS
import org.lycheemount.caller.RouterFixture.Companion.expectedTokens
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ChatStreamTest {
    private val router = RouterFixture()
    private val engines = mutableListOf<ScriptedEngine>()

    @AfterEach
    fun close() {
        router.close()
        engines.forEach { it.close() }
    }

    @Nested
    inner class `an engine that fails mid-stream` {
        @Test
        fun `is replaced by another one that continues without missing or duplicate tokens, and the request is billed once`() =
            runBlocking<Unit> {
                val failing = engine("e1") { listOf(ScriptStep.Send(0, 3), ScriptStep.Send(3, 5), ScriptStep.Disconnect) }
                val healthy = engine("e2") { listOf(ScriptStep.Send(it.startAtToken, 9), ScriptStep.Finish("stop")) }
                router.setBackendServers(failing, healthy)

                val events = router.chat(stream = true).bodyAsText()

                assertEquals(expectedTokens(9), deltas(events))
                assertTrue(events.endsWith("data: [DONE]\n\n"))
                assertEquals(5, healthy.requests.single().startAtToken)
                assertEquals(9, bill().completionTokens)
                awaitUntil("the failed attempt is cancelled") { failing.cancels.size == 1 }
                assertEquals(0, router.ledger.bills.size)
            }

        @Test
        fun `without another server ends the stream with an error event, and the delivered tokens are billed`() =
            runBlocking<Unit> {
                router.setBackendServers(engine("e1") { listOf(ScriptStep.Send(0, 4), ScriptStep.Disconnect) })

                val events = router.chat(stream = true).bodyAsText()

                assertEquals(expectedTokens(4), deltas(events))
                assertContains(events, "\"outcome\":\"ran\"")
                assertTrue("[DONE]" !in events)
                assertEquals(4, bill().completionTokens)
            }

        @Test
        fun `is not replaced by one that ends before the delivered tokens, guarding against a truncated stream that looks complete`() =
            runBlocking<Unit> {
                val failing = engine("e1") { listOf(ScriptStep.Send(0, 5), ScriptStep.Disconnect) }
                val early = engine("e2") { listOf(ScriptStep.Finish("stop")) }
                router.setBackendServers(failing, early)

                val events = router.chat(stream = true).bodyAsText()

                assertEquals(expectedTokens(5), deltas(events))
                assertTrue("[DONE]" !in events, events)
                assertContains(events, "\"outcome\":\"ran\"")
            }

        @Test
        fun `before its first token leaves the outcome unknown, and the whole reservation is charged`() =
            runBlocking<Unit> {
                router.setBackendServers(engine("e1") { listOf(ScriptStep.Disconnect) })

                val response = router.chat(maxTokens = 50)

                assertEquals(502 to "unknown", response.status.value to response.headers[OUTCOME_HEADER])
                val charge = bill()
                assertEquals(PROMPT_TOKENS + 50 to false, charge.totalTokens to charge.outcomeKnown)
            }
    }

    @Nested
    inner class `chunks` {
        @Test
        fun `that arrive repeated, late and out of order yield the complete response`() =
            runBlocking<Unit> {
                val script =
                    listOf(4 to 6, 0 to 2, 0 to 2, 2 to 4, 1 to 5, 8 to 9, 6 to 8, 4 to 6).map { (from, until) ->
                        ScriptStep.Send(from, until)
                    }
                router.setBackendServers(engine("e1") { script + ScriptStep.Finish("stop") })

                val body = router.chat().bodyAsText()

                assertContains(body, "\"content\":\"${expectedTokens(9)}\"")
                assertEquals(9, bill().completionTokens)
            }
    }

    @Nested
    inner class `an engine that hangs mid-stream` {
        @Test
        fun `is detected by the timeout between chunks, cancelled and replaced`() =
            runBlocking<Unit> {
                val limits = CallerLimits(streamTimeouts = LONG_STREAM_TIMEOUTS.copy(nextChunkMs = 300))
                RouterFixture(limits = limits).use { impatientRouter ->
                    val hanging = engine("e1") { listOf(ScriptStep.Send(0, 3), ScriptStep.AwaitCancel) }
                    val healthy = engine("e2") { listOf(ScriptStep.Send(it.startAtToken, 6), ScriptStep.Finish("stop")) }
                    impatientRouter.setBackendServers(hanging, healthy)

                    val events = impatientRouter.chat(stream = true).bodyAsText()

                    assertEquals(expectedTokens(6), deltas(events))
                    awaitUntil("the slot of the hanging engine is freed") { hanging.heldSlots.isEmpty() }
                }
            }
    }

    @Nested
    inner class `a caller that disconnects` {
        @Test
        fun `mid-stream frees the engine's slot and is billed for the generated tokens`() =
            runBlocking<Unit> {
                val engine = engine("e1") { listOf(ScriptStep.Send(0, 2), ScriptStep.Send(2, 5), ScriptStep.AwaitCancel) }
                router.setBackendServers(engine)

                router.openStream().execute { it.bodyAsChannel().readUTF8Line() }

                awaitUntil("the slot is freed") { engine.cancels.size == 1 && engine.heldSlots.isEmpty() }
                assertEquals(5, bill().completionTokens)
            }

        @Test
        fun `while a response that is not streamed is generated frees the engine's slot and is billed for the generated tokens`() =
            runBlocking<Unit> {
                val engine = engine("e1") { listOf(ScriptStep.Send(0, 3), ScriptStep.AwaitCancel) }
                router.setBackendServers(engine)

                coroutineScope {
                    val request = async { router.chat() }
                    awaitUntil("the generation has started") { engine.requests.size == 1 }
                    request.cancel()
                }

                awaitUntil("the slot is freed") { engine.cancels.isNotEmpty() && engine.heldSlots.isEmpty() }
                assertEquals(3, bill().completionTokens)
            }
    }

    @Nested
    inner class `a budget below the maximum output` {
        @Test
        fun `is reserved in steps, and the completion ends with finish reason length when a step is refused`() =
            runBlocking<Unit> {
                val ledger = FakeLedger(availableTokens = PROMPT_TOKENS + 25)
                RouterFixture(ledger = ledger, limits = CallerLimits(reservationStepTokens = 10)).use { limitedRouter ->
                    val engine = engine("e1") { listOf(ScriptStep.Send(it.startAtToken, it.maxOutputTokens), ScriptStep.Finish("length")) }
                    limitedRouter.setBackendServers(engine)

                    val body = limitedRouter.chat(maxTokens = 100).bodyAsText()

                    assertContains(body, "\"finish_reason\":\"length\"")
                    assertContains(body, "\"content\":\"${expectedTokens(20)}\"")
                    assertEquals(listOf(10, 20), engine.requests.map { it.maxOutputTokens })
                    assertEquals(5, ledger.available())
                }
            }
    }

    private fun engine(
        name: String,
        script: (org.lycheemount.backend.GenerateRequest) -> List<ScriptStep>,
    ) = ScriptedEngine(name, script).also { engines += it }

    private fun bill() = checkNotNull(router.ledger.bills.poll(60, TimeUnit.SECONDS)) { "no bill was recorded" }.charge
}
