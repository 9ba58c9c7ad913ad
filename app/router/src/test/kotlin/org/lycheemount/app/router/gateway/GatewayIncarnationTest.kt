package org.lycheemount.app.router.gateway

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.lycheemount.common.DiscardingEventLog
import org.lycheemount.testing.FakeClock
import kotlin.test.Test
import kotlin.test.assertTrue

class GatewayIncarnationTest {
    @Nested
    inner class `a gateway that restarts after the time of day was stepped back` {
        @Test
        fun `reads the incarnation of its predecessor in the store, guarding against peers that ignore it as outdated`() {
            GatewayFixture().use { fixture ->
                val settings = fixture.settings(drainGraceS = 1.0)
                val incarnations =
                    listOf(0L, -5_000L).map { stepMs ->
                        runBlocking {
                            awaitGatewayIncarnation(
                                settings,
                                FakeClock(wallClockOffsetMs = WALL_CLOCK_MS + stepMs),
                                DiscardingEventLog,
                            )
                        }
                    }

                assertTrue(incarnations[1] > incarnations[0], "incarnations: $incarnations")
            }
        }
    }

    private companion object {
        private const val WALL_CLOCK_MS = 1_700_000_000_000L
    }
}
