package org.lycheemount.standin.enginemodel

import org.junit.jupiter.api.Nested
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EngineModelTest {
    private val modelId = ModelId("m")
    private val parameters = EngineParameters(slots = 2, queueLimit = 2, cacheBlocks = 8)

    private fun engine(engineParameters: EngineParameters = parameters) = EngineModel(engineParameters, mapOf(modelId to "1"))

    private fun job(
        name: String,
        tokens: Int = 4,
        priority: Int = 0,
        hashes: List<Long> = emptyList(),
        startAtToken: Int = 0,
        maxOutputTokens: Int = 100,
        promptTokens: Int = 64,
    ) = EngineJob(RequestId(name), modelId, promptTokens, hashes, tokens, maxOutputTokens, priority, startAtToken)

    private fun EngineModel.finish(untilUs: Long = 60_000_000) = advance(untilUs).filterIsInstance<EngineEvent.Finished>()

    @Nested
    inner class `the batch` {
        @Test
        fun `prolongs each step for each sequence in it`() {
            val one = engine().apply { submit(job("a"), 0) }
            val two = engine()
            listOf("a", "b").forEach { two.submit(job(it), 0) }

            val aloneUs = one.finish().single().atUs
            val togetherUs = two.finish().last().atUs

            // Alone: prefill of 64 tokens and 4 decoding steps. Together the second joins after the first step.
            assertEquals(4 * (14_000L + 400) + 64 * 30, aloneUs)
            assertEquals(14_400 + 64 * 30 + 14_800 + 64 * 30 + 2 * 14_800 + 14_400L, togetherUs)
        }

        @Test
        fun `refuses requests beyond the queue limit and starts queued ones by priority`() {
            val engine = engine()
            val admissions =
                listOf(
                    job("a"),
                    job("b"),
                    job("c", priority = 5),
                    job("d", priority = 1),
                    job("e"),
                ).map { engine.submit(it, 0) }

            val endedIds = engine.finish().map { it.requestId.value }

            assertEquals(listOf(EngineAdmission.QUEUE_FULL), admissions.filter { it != EngineAdmission.ACCEPTED })
            assertEquals(4, endedIds.size)
            assertTrue(endedIds.indexOf("d") < endedIds.indexOf("c"))
        }
    }

    @Nested
    inner class `the prefix cache` {
        @Test
        fun `skips the prefill of cached blocks and evicts the least recently used ones when full`() {
            val engine = engine()
            engine.submit(job("a", hashes = listOf(1, 2, 3, 4)), 0)
            engine.finish(1_000_000)
            engine.submit(job("b", hashes = listOf(1, 2, 3, 9)), 1_000_000)
            val second = engine.finish(2_000_000).single()
            engine.submit(job("c", hashes = listOf(11, 12, 13, 14, 15, 16)), 2_000_000)
            engine.finish(3_000_000)

            assertEquals(48, second.cachedPromptTokens)
            assertEquals(8, engine.cachedBlocks)
            assertEquals(2, engine.exportableBlocks(listOf(1, 2, 3)))
        }

        @Test
        fun `publishes its events after a delay and reports a gap to a reader that is too far behind`() {
            val engine = engine(parameters.copy(cacheEventBuffer = 4))
            engine.submit(job("a", tokens = 1, hashes = listOf(1, 2, 3)), 0)
            val doneUs = engine.finish(100_000).single().atUs

            val early = engine.cacheEvents(0, doneUs + 299_999)
            val inTime = engine.cacheEvents(0, doneUs + 300_000)
            engine.submit(job("b", hashes = (20L..29L).toList()), 1_000_000)
            engine.finish(2_000_000)
            val late = engine.cacheEvents(inTime.lastSequence, 3_000_000)

            assertEquals(0, early.storedPrefixHashes.size)
            assertEquals(setOf(1L, 2L, 3L), inTime.storedPrefixHashes.toSet())
            assertFalse(inTime.hasGap)
            assertTrue(late.hasGap)
        }
    }

    @Nested
    inner class `a resumed request` {
        @Test
        fun `generates only the tokens that the caller does not have yet`() {
            val engine = engine()
            engine.submit(job("a", tokens = 10, startAtToken = 7), 0)

            val events = engine.advance(10_000_000)

            assertEquals(listOf(7, 8, 9), events.filterIsInstance<EngineEvent.Token>().map { it.index })
            assertEquals(10, events.filterIsInstance<EngineEvent.Finished>().single().totalTokens)
            assertEquals(3L, engine.generatedTokens)
        }

        @Test
        fun `ends with finish reason length at its output limit`() {
            val engine = engine()
            engine.submit(job("a", tokens = 10, maxOutputTokens = 4), 0)

            val end = engine.finish().single()

            assertEquals("length" to 4, end.reason to end.totalTokens)
        }
    }

    @Nested
    inner class `a cancelled request` {
        @Test
        fun `frees its slot and reports the same tokens when cancelled again`() {
            val engine = engine()
            engine.submit(job("a", tokens = 1_000, maxOutputTokens = 1_000), 0)
            engine.advance(100_000)

            val first = engine.cancel(RequestId("a"), 100_000)
            val again = engine.cancel(RequestId("a"), 200_000)

            assertEquals(0, engine.slotsHeld)
            assertTrue(first.found && first.generatedTokens > 0)
            assertEquals(first, again)
        }
    }

    @Nested
    inner class `a hung engine` {
        @Test
        fun `makes no progress and loses no token`() {
            val engine = engine()
            engine.submit(job("a"), 0)
            engine.pause(20_000)
            val whileHung = engine.advance(5_000_000).size
            engine.resume(5_000_000)

            assertEquals(1, whileHung)
            assertEquals(4, engine.finish().single().totalTokens)
        }
    }

    @Nested
    inner class `the load report` {
        @Test
        fun `shows a sample only after its interval and publication delay`() {
            val engine = engine()
            engine.submit(job("a", tokens = 1_000, maxOutputTokens = 1_000), 0)

            assertEquals(0, engine.load(749_000).runningRequests)
            assertEquals(1, engine.load(750_000).runningRequests)
            assertEquals(250_000, engine.load(750_000).ageUs)
        }
    }

    @Nested
    inner class `a stale fencing token` {
        @Test
        fun `is refused only by an engine that checks it`() {
            val checking = engine()
            val ignoring = engine().apply { checksFencingToken = false }

            val accepted =
                listOf(checking, ignoring).map {
                    it.loadModel(ModelId("n"), "1", fencingToken = 5, nowUs = 0)
                    it.unloadModel(modelId, fencingToken = 4, nowUs = 1)
                }

            assertEquals(listOf(false, true), accepted)
        }
    }
}
