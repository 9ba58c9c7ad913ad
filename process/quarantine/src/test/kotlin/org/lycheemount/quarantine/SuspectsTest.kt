package org.lycheemount.quarantine

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class SuspectsTest {
    private val suspects = Suspects()

    private fun prompt(segments: Int) = PromptSegments(List(segments - 1) { SegmentId(it.toLong()) }, SegmentId(segments.toLong()))

    @Nested
    inner class `suspects of a crash` {
        @Test
        fun `are all kept if they are ordinary, guarding against a crash whose cause is not reported`() {
            val prompts = List(200) { prompt(segments = 20) }

            prompts.forEach(suspects::add)

            assertEquals(prompts, suspects.prompts)
        }

        @Test
        fun `have a limit in number`() {
            repeat(300) { suspects.add(prompt(segments = 3)) }

            assertEquals(200, suspects.prompts.size)
        }

        @Test
        fun `have a limit in segments, guarding against reports of megabytes about prompts with thousands of them`() {
            repeat(200) { suspects.add(prompt(segments = 1_500)) }
            suspects.add(prompt(segments = 3))

            assertEquals(listOf(1_500, 1_500, 3), suspects.prompts.map { it.all.size })
        }

        @Test
        fun `contain the first one, however many segments it has`() {
            suspects.add(prompt(segments = 5_000))

            assertEquals(1, suspects.prompts.size)
        }
    }
}
