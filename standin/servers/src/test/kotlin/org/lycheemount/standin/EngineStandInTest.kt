package org.lycheemount.standin

import kotlinx.coroutines.flow.takeWhile
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.BackendHttp
import org.lycheemount.backend.DefaultModelEngineClient
import org.lycheemount.backend.EngineAction
import org.lycheemount.backend.EngineCommand
import org.lycheemount.backend.GenerateEvent
import org.lycheemount.backend.GenerateRequest
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import org.lycheemount.standin.enginemodel.EngineParameters
import org.lycheemount.standin.enginemodel.OutputTokens
import org.lycheemount.testing.LISTENER_HOST
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class EngineStandInTest {
    private val modelId = ModelId("m")
    private val fast = EngineParameters(stepBaseUs = 500, stepPerSequenceUs = 0, prefillPerTokenUs = 0)
    private val engine = startEngineStandIn(EngineStandInSettings(host = LISTENER_HOST, models = mapOf(modelId to "1"), parameters = fast))
    private val server = engine.describe()
    private val http = BackendHttp(connectTimeoutMs = TIMEOUT_MS, controlTimeoutMs = TIMEOUT_MS)
    private val client = DefaultModelEngineClient(http)

    @AfterEach
    fun close() {
        http.close()
        engine.close()
    }

    private fun request(
        name: String = "r",
        tokens: Int = 40,
        startAt: Int = 0,
        max: Int = 10_000,
    ) = GenerateRequest(RequestId(name), modelId, "prompt [[tokens=$tokens]]", 8, listOf(1L, 2L), max, 0, startAt)

    private fun generate(
        request: GenerateRequest,
        engineClient: DefaultModelEngineClient = client,
    ) = runBlocking { engineClient.generate(server, request).toList() }

    private fun expected(request: GenerateRequest) =
        OutputTokens.tokens(request.prompt, request.startAtToken, OutputTokens.naturalLength(request.prompt))

    private fun inOrder(events: List<GenerateEvent>) =
        events
            .filterIsInstance<GenerateEvent.Tokens>()
            .distinctBy { it.sequence }
            .sortedBy { it.sequence }
            .flatMap { it.tokens }

    @Nested
    inner class `a stream` {
        @Test
        fun `contains the tokens of the completion from the start or from an offset`() {
            val whole = generate(request())
            val resumed = generate(request(name = "s", startAt = 25))

            assertEquals(expected(request()), inOrder(whole))
            assertEquals(expected(request()).drop(25), inOrder(resumed))
            assertEquals(listOf(40, 40), listOf(whole, resumed).map { assertIs<GenerateEvent.Finished>(it.last()).totalTokens })
        }

        @Test
        fun `is complete after sorting when chunks are duplicated, delayed or swapped`() {
            engine.changeFaults { copy(duplicateChunkShare = 0.3, swappedChunkShare = 0.3, lateChunkShare = 0.1, lateChunkMs = 2) }

            val events = generate(request())
            val sequences = events.filterIsInstance<GenerateEvent.Tokens>().map { it.sequence }

            assertEquals(expected(request()), inOrder(events))
            assertTrue(sequences != sequences.distinct().sorted())
        }

        @Test
        fun `is reported as broken when its engine crashes, and the restarted engine accepts the request again`() {
            engine.changeFaults { copy(dieAfterTokens = 5) }

            val broken = generate(request())
            val portBefore = engine.port
            engine.restart()
            val afterwards = generate(request())

            assertEquals(GenerateEvent.Failed(AttemptFailure.BROKEN_CONNECTION), broken.last())
            assertEquals(portBefore, engine.port)
            assertIs<GenerateEvent.Finished>(afterwards.last())
            assertEquals(2, engine.acceptances().getValue(RequestId("r")))
        }

        @Test
        fun `times out when its engine hangs`() {
            engine.changeFaults { copy(hanging = true) }

            BackendHttp().use {
                val events = generate(request(), DefaultModelEngineClient(it, idleTimeoutMs = 300))

                assertEquals(listOf<GenerateEvent>(GenerateEvent.Failed(AttemptFailure.TIMED_OUT)), events)
            }
        }
    }

    @Nested
    inner class `a client that closes its connection` {
        @Test
        fun `leaves the slot held until it cancels`() =
            runBlocking {
                val request = request(tokens = 100_000, max = 100_000)
                client.generate(server, request).takeWhile { it !is GenerateEvent.Tokens || it.sequence < 3 }.toList()

                val heldAfterClose = engine.slotsHeld
                val cancellation = client.cancel(server, request.requestId)

                assertEquals(1, heldAfterClose)
                assertTrue(cancellation != null && cancellation.wasFound && cancellation.generatedTokens >= 3)
                assertEquals(0, engine.slotsHeld)
            }
    }

    @Nested
    inner class `an engine that cannot accept a request` {
        @Test
        fun `is reported as leaving, busy or unreachable when it leaves, lacks the model or has crashed`() {
            engine.changeFaults { copy(leaving = true) }
            val leaving = generate(request())
            engine.changeFaults { copy(leaving = false) }
            val unknownModel = generate(request().copy(modelId = ModelId("other")))
            engine.crash()
            // A pooled connection may be reset rather than refused, so the crashed engine is called on a new connection.
            val crashed = BackendHttp(connectTimeoutMs = TIMEOUT_MS).use { generate(request(), DefaultModelEngineClient(it)) }

            assertEquals(
                listOf(AttemptFailure.REFUSED_LEAVING, AttemptFailure.REFUSED_BUSY, AttemptFailure.CONNECT_FAILED),
                listOf(leaving, unknownModel, crashed).map { assertIs<GenerateEvent.Failed>(it.single()).failure },
            )
        }
    }

    @Nested
    inner class `a command with a stale fencing token` {
        @Test
        fun `is refused unless the engine ignores fencing tokens`() =
            runBlocking {
                fun unload(token: Long) = EngineCommand(token, EngineAction.UNLOAD, ModelId("other"), "1")
                val accepted = mutableListOf(client.command(server, unload(7))?.isAccepted, client.command(server, unload(6))?.isAccepted)
                engine.changeFaults { copy(checksFencingToken = false) }
                accepted += client.command(server, unload(6))?.isAccepted

                assertEquals(listOf<Boolean?>(true, false, true), accepted)
            }
    }

    @Nested
    inner class `a cache move` {
        @Test
        fun `copies cached blocks, so that the other engine does not prefill them`() {
            startEngineStandIn(EngineStandInSettings(models = mapOf(modelId to "1"), parameters = fast)).use { other ->
                generate(request())

                val moved = runBlocking { client.moveCache(server, other.describe(), modelId, listOf(1L, 2L, 3L)) }
                val end = runBlocking { client.generate(other.describe(), request()).toList().last() }

                assertEquals(2, moved)
                assertEquals(8, assertIs<GenerateEvent.Finished>(end).cachedPromptTokens)
            }
        }
    }

    private companion object {
        private const val TIMEOUT_MS = 60_000L
    }
}
