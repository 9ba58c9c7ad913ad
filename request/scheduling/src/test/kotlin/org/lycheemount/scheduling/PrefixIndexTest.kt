package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PrefixIndexTest {
    /** Counts the blocks that are read. */
    private class CountingList(
        private val blocks: List<Long>,
    ) : AbstractList<Long>() {
        var readCount = 0

        override val size get() = blocks.size

        override fun get(index: Int): Long {
            readCount++
            return blocks[index]
        }
    }

    private fun matchedOneByOne(
        index: Set<Long>,
        blocks: List<Long>,
    ) = blocks.takeWhile { it in index }.size

    /** Prompts that share their first blocks with others, as chained hashes do. */
    private fun promptOf(random: Random): List<Long> {
        val shared = random.nextInt(4)
        val sharedBlocks = random.nextInt(120)
        val own = random.nextInt(6)
        return List(sharedBlocks) { shared * 1_000_000L + it } +
            List(random.nextInt(60)) { shared * 1_000_000L + sharedBlocks * 1_000L + own * 100 + it + 500 }
    }

    @Nested
    inner class `the search for the blocks of a prompt` {
        @Test
        fun `reads few of them, guarding against work that grows with the tokens that a caller states`() {
            val index = PrefixIndex()
            index.store(List(BLOCKS) { it.toLong() }, 0)
            val held = CountingList(List(BLOCKS) { it.toLong() })
            val absent = CountingList(List(BLOCKS) { if (it < BLOCKS / 2) it.toLong() else -it.toLong() })

            assertEquals(BLOCKS, index.matchedBlocks(held, 1))
            assertEquals(BLOCKS / 2, index.matchedBlocks(absent, 1))

            assertTrue(held.readCount <= MAX_READS, "${held.readCount} of $BLOCKS blocks read")
            assertTrue(absent.readCount <= MAX_READS, "${absent.readCount} of $BLOCKS blocks read")
        }

        @Test
        fun `finds as many as a comparison one by one, also after misses and gaps in the events`() {
            repeat(HISTORIES) { seed ->
                val random = Random(seed)
                val index = PrefixIndex()
                repeat(STEPS) { step ->
                    when (random.nextInt(10)) {
                        0 -> index.onObserved(predictedBlocks = 40, cachedBlocks = random.nextInt(40))
                        1 -> index.onEventGap(step * 100L)
                        else -> index.store(promptOf(random), step * 100L)
                    }
                    val prompt = promptOf(random)
                    assertEquals(
                        matchedOneByOne(index.heldBlocks(), prompt),
                        index.matchedBlocks(prompt, step * 100L),
                        "seed $seed, step $step",
                    )
                }
            }
        }

        @Test
        fun `stops at a block that an event has evicted although later ones are held`() {
            val index = PrefixIndex()
            val prompt = (1L..40L).toList()
            index.store(prompt, 0)

            index.evict(listOf(20L))

            assertEquals(19, index.matchedBlocks(prompt, 1))
        }
    }

    private companion object {
        private const val BLOCKS = 8_192
        private const val MAX_READS = 64
        private const val HISTORIES = 200
        private const val STEPS = 60
    }
}
