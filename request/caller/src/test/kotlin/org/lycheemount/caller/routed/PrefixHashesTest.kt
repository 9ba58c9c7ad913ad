package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class PrefixHashesTest {
    @Nested
    inner class `hashes of a prompt` {
        @Test
        fun `are those of a list with one hash for each block, guarding against prompts that no longer share their parts`() {
            val random = Random(1)
            repeat(2_000) {
                val segments = List(random.nextInt(6)) { PromptSegment(random.nextLong(0, 4), tokens = random.nextInt(400)) }

                assertEquals(listOfHashes(segments), PrefixHashes(segments).toList())
            }
        }

        @Test
        fun `are equal up to the first part that differs`() {
            val first = PrefixHashes(listOf(PromptSegment(1, 640), PromptSegment(2, 640)))
            val second = PrefixHashes(listOf(PromptSegment(1, 640), PromptSegment(3, 640)))

            assertEquals(10, first.zip(second).takeWhile { (a, b) -> a == b }.size)
        }

        @Test
        fun `exist for blocks only`() {
            val hashes = PrefixHashes(listOf(PromptSegment(1, 128)))

            assertFailsWith<IndexOutOfBoundsException> { hashes[2] }
            assertFailsWith<IndexOutOfBoundsException> { hashes[-1] }
            assertEquals(emptyList(), PrefixHashes(emptyList()).toList())
        }

        // 8,192 blocks are 524,288 tokens.
        @Test
        fun `have a limit, guarding against work and memory that grow with the tokens that a caller states`() {
            val segments = listOf(PromptSegment(1, 500_000), PromptSegment(2, Int.MAX_VALUE), PromptSegment(3, Int.MAX_VALUE))

            val hashes = PrefixHashes(segments)

            assertEquals(8_192, hashes.size)
            assertEquals(listOfHashes(segments.map { PromptSegment(it.id, minOf(it.tokens, 600_000)) }).take(8_192), hashes.toList())
        }
    }

    /** One hash for each block of 64 tokens; a block that spans segments belongs to the last of them. */
    private fun listOfHashes(segments: List<PromptSegment>): List<Long> {
        val hashes = ArrayList<Long>()
        var chain = 0x2545F4914F6CDD1DL
        var tokens = 0
        for (segment in segments) {
            chain = mix(chain xor segment.id)
            tokens += segment.tokens
            var index = 0L
            while ((hashes.size + 1) * 64 <= tokens) hashes += mix(chain + ++index)
        }
        return hashes
    }

    private fun mix(value: Long): Long = (value * -0x61c8864680b583ebL).let { it xor (it ushr 29) }
}
