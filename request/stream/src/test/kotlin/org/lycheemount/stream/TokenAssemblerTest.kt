package org.lycheemount.stream

import org.junit.jupiter.api.Nested
import org.lycheemount.backend.GenerateEvent
import org.lycheemount.common.RequestId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class TokenAssemblerTest {
    private val requestId = RequestId("r1.0.1")
    private val assembler = TokenAssembler(requestId)

    @Nested
    inner class `chunks in any order` {
        @Test
        fun `yield each token once and in order, guarding against gaps and repeats in the completion`() {
            val completion = List(200) { "t$it" }
            val random = Random(7)
            val chunks = completion.indices.map { chunk(it, completion.subList(it, minOf(it + 1 + random.nextInt(4), completion.size))) }
            val shuffled = (chunks + chunks.filter { random.nextInt(3) == 0 }).shuffled(random)

            val delivered = shuffled.flatMap { (assembler.offer(it) as? ChunkOutcome.Deliver)?.tokens.orEmpty() }

            assertEquals(completion, delivered)
            assertEquals(200, assembler.deliveredTokens)
        }

        @Test
        fun `of another request are dropped, guarding against delivery to the wrong caller`() {
            val outcome = assembler.offer(GenerateEvent.Tokens(RequestId("r2.0.1"), 0, listOf("secret")))

            assertIs<ChunkOutcome.NoNewTokens>(outcome)
            assertEquals(0, assembler.deliveredTokens)
        }
    }

    @Nested
    inner class `a new attempt` {
        @Test
        fun `discards buffered chunks of the failed one and resumes at the offset`() {
            assembler.offer(chunk(0, listOf("a", "b")))
            assembler.offer(chunk(5, listOf("x")))
            assembler.beginAttempt()

            val delivered = listOf(chunk(2, listOf("c", "d", "e")), chunk(5, listOf("f"))).map { assembler.offer(it) }

            assertEquals(listOf<ChunkOutcome>(ChunkOutcome.Deliver(listOf("c", "d", "e")), ChunkOutcome.Deliver(listOf("f"))), delivered)
        }
    }

    @Nested
    inner class `a faulty engine` {
        @Test
        fun `that skips a chunk in every step is rejected before its buffered chunks exhaust memory`() {
            val outcomes = (1..2_000).map { assembler.offer(chunk(it * 2, listOf("x"))) }

            assertEquals(ChunkOutcome.Malformed, outcomes.last())
        }
    }

    private fun chunk(
        sequence: Int,
        tokens: List<String>,
    ) = GenerateEvent.Tokens(requestId, sequence, tokens)
}
