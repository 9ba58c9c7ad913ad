package org.lycheemount.quarantine

import org.junit.jupiter.api.Nested
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CrashEvidenceTest {
    private val evidence = CrashEvidence()
    private var crashCount = 0

    private fun prompt(
        vararg shared: Long,
        own: Long,
    ) = PromptSegments(shared.map(::SegmentId), SegmentId(own))

    private fun crash(
        atMs: Long,
        vararg suspects: PromptSegments,
    ) {
        val run = VmId("run${crashCount++}")
        evidence.add("${run.value}/r", CrashReport(run, RouterId("r"), atMs, suspects.toList()))
    }

    private fun responsible(hasWorked: (SegmentId) -> Boolean = { it.value == FIRST }) =
        evidence.responsibleSegments(hasWorked).associate { it.segments.single().value to it.crashCount }

    @Nested
    inner class `a segment that is common to crashes of several requests` {
        @Test
        fun `is held responsible, guarding against servers that crash one after the other`() {
            crash(1_000, prompt(FIRST, HARMFUL, own = 101), prompt(FIRST, 11, own = 201))
            crash(2_000, prompt(FIRST, HARMFUL, own = 102), prompt(FIRST, 12, own = 202))

            assertEquals(mapOf(HARMFUL to 2), responsible())
        }

        @Test
        fun `takes the blame for its companions, guarding against refusals of sound requests that share their caller's segments`() {
            repeat(2) { crash(1_000L + it, prompt(FIRST, 11, HARMFUL, own = 101)) }
            assertEquals(mapOf(101L to 2), responsible())

            crash(3_000, prompt(FIRST, 12, HARMFUL, own = 102))

            assertEquals(mapOf(HARMFUL to 3), responsible())
        }

        @Test
        fun `is held responsible although the suspects of a crash are reported by several routers`() {
            for (run in listOf(1L, 2L)) {
                val reports = listOf("r1" to prompt(FIRST, HARMFUL, own = 100 + run), "r2" to prompt(FIRST, 10 + run, own = 200 + run))
                for ((router, suspect) in reports) {
                    evidence.add("$run/$router", CrashReport(VmId("run$run"), RouterId(router), 1_000, listOf(suspect)))
                }
            }

            assertEquals(mapOf(HARMFUL to 2), responsible())
        }

        @Test
        fun `is quarantined only together with a companion that explains the same crashes, so that other requests tell them apart`() {
            repeat(2) { crash(1_000L + it, prompt(FIRST, 11, HARMFUL, own = 101L + it)) }
            assertEquals(listOf(setOf(SegmentId(11), SegmentId(HARMFUL))), evidence.responsibleSegments { false }.map { it.segments })

            evidence.clear(SegmentId(11), atTableTimeMs = 2_000)

            assertEquals(mapOf(HARMFUL to 2), responsible())
        }

        @Test
        fun `is quarantined with its companion although a sound request had that one alone, guarding against refusals of such requests`() {
            crash(1_000, prompt(FIRST, 11, HARMFUL, own = 101), prompt(FIRST, 11, own = 201))
            crash(2_000, prompt(FIRST, 11, HARMFUL, own = 102))

            assertEquals(listOf(setOf(SegmentId(11), SegmentId(HARMFUL))), evidence.responsibleSegments { false }.map { it.segments })
        }

        @Test
        fun `is quarantined longer the more crashes it explains, guarding against harmful requests that are tried again and again`() {
            val durationsMs =
                (1L..5L).mapNotNull { count ->
                    crash(count * 1_000, prompt(FIRST, HARMFUL, own = 100 + count))
                    evidence.responsibleSegments { false }.firstOrNull()?.let { it.untilTableTimeMs - count * 1_000 }
                }

            assertEquals(listOf<Long>(4_000, 60_000, 600_000, 86_400_000), durationsMs)
        }

        @Test
        fun `is quarantined for a short time if all crashes come together, guarding against a sound segment that is refused for hours`() {
            repeat(9) { crash(1_000, prompt(FIRST, 11, own = 101L + it)) }

            assertEquals(5_000, evidence.responsibleSegments { it.value == FIRST }.single().untilTableTimeMs)
        }
    }

    @Nested
    inner class `a segment to which a server has responded` {
        @Test
        fun `is cleared of earlier crashes, guarding against a segment that stays refused although it was innocent`() {
            crash(1_000, prompt(FIRST, 11, own = 101))
            crash(2_000, prompt(FIRST, 11, own = 102))
            assertEquals(setOf(11L), responsible().keys)

            evidence.clear(SegmentId(11), atTableTimeMs = 2_500)

            assertEquals(emptyMap(), responsible())
            assertTrue(SegmentId(11) !in evidence.suspectedSegments())
        }

        @Test
        fun `is not held responsible for crashes that new segments explain, guarding against a route that several harmful prompts block`() {
            for (wave in 1L..5L) {
                repeat(4) {
                    val own = 100 * wave + it
                    crash(5_000 * wave, prompt(FIRST, 11, own = own), prompt(50 + wave, 12, own = own + 50))
                }
            }

            assertEquals(emptyMap(), responsible { it.value in setOf(FIRST, 11L, 12L) })
        }

        @Test
        fun `needs more crashes than others, guarding against common segments blamed for servers that crash together`() {
            repeat(3) { crash(1_000, prompt(FIRST, 11, own = 101L + it)) }

            assertEquals(emptyMap(), responsible { it.value in setOf(FIRST, 11L) })
        }
    }

    @Nested
    inner class `crashes of servers for another reason` {
        @Test
        fun `blame nobody, guarding against refusals after several servers were lost at once`() {
            repeat(3) { crash(1_000, prompt(FIRST, 11L + it, own = 101L + it), prompt(FIRST + 1, 21L + it, own = 201L + it)) }

            assertEquals(emptyMap(), responsible())
        }

        @Test
        fun `do not blame the first segment of their requests if they come together, guarding against a route that is refused`() {
            repeat(9) { crash(1_000L + 100 * it, prompt(FIRST, 11L + it, own = 101L + it)) }

            assertEquals(emptyMap(), responsible())
        }

        @Test
        fun `blame the first segment if they come one after the other and nothing else explains them`() {
            repeat(4) { crash(1_000L + 1_000 * it, prompt(FIRST, 11L + it, own = 101L + it)) }

            assertEquals(mapOf(FIRST to 4), responsible())
        }

        @Test
        fun `do not blame the first segment of the requests of a route while a later one explains them`() {
            repeat(5) { crash(1_000L + it, prompt(FIRST, HARMFUL, own = 101L + it)) }

            assertEquals(mapOf(HARMFUL to 5), responsible { false })
        }
    }

    @Nested
    inner class `old reports` {
        @Test
        fun `are removed unless a responsible segment is among their suspects`() {
            repeat(2) { crash(1_000L + it, prompt(FIRST, HARMFUL, own = 101L + it)) }
            crash(1_000, prompt(FIRST, 11, own = 201))

            assertEquals(listOf("run2/r"), evidence.removeBefore(5_000, setOf(SegmentId(HARMFUL))))
            assertEquals(mapOf(HARMFUL to 2), responsible())
        }
    }

    private companion object {
        private const val FIRST = 1L
        private const val HARMFUL = 99L
    }
}
