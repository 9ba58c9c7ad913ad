package org.lycheemount.origins

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import org.lycheemount.common.CallerAttemptId
import org.lycheemount.testing.FakeTableService
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Records that are in the memory of a router and of the peer that keeps its copies, and not in the table. */
class OriginCopiesTest {
    private val attempt = CallerAttemptId("attempt")

    /** Starts routers [ids] while [V1] is in use, and returns a copy of the table of that time. */
    private suspend fun OriginCaseFleet.startAll(vararg ids: String): Pair<FakeTableService.Copy, List<OriginCaseRouter>> {
        val routers = ids.map { start(it, setOf(V1)) }
        return table.copy() to routers
    }

    private suspend fun List<OriginCaseRouter>.openSecondVersion() {
        forEach { it.list(setOf(V1, V2)) }
        delay(SETTLE_MS)
    }

    @Nested
    inner class `a stream whose router ends at the moment at which the table comes back from an older copy` {
        @Test
        fun `goes on at any router, guarding against records that are lost with the only router that has them`() =
            originCaseTest(hasPeerLinks = true) {
                val (copy, routers) = startAll("r1", "r2", "r3")
                routers.openSecondVersion()
                routers.first().begin(attempt, V2)
                delay(1_000)

                table.comeBackFrom(copy)
                routers.first().kill()
                routers.drop(1).forEach { it.noticeEra() }

                assertEquals(List(2) { StreamOrigin.Known(V2) }, routers.drop(1).map { it.originOf(attempt) })
                assertEquals(StreamOrigin.Known(V2), start("r4", setOf(V1, V2)).originOf(attempt))
            }

        @Test
        fun `goes on if one version is in use, which needed no records before`() =
            originCaseTest(hasPeerLinks = true) {
                val (copy, routers) = startAll("r1", "r2", "r3")
                routers.first().begin(attempt, V1)
                delay(1_000)

                table.comeBackFrom(copy)
                routers.first().kill()
                routers.drop(1).forEach { it.noticeEra() }

                assertEquals(List(2) { StreamOrigin.Known(V1) }, routers.drop(1).map { it.originOf(attempt) })
            }

        @Test
        fun `goes on after all other routers have been restarted before, guarding against copies that are not sent to another peer`() =
            originCaseTest(hasPeerLinks = true) {
                val (copy, routers) = startAll("r1", "r2", "r3")
                routers.first().begin(attempt, V1)
                delay(1_000)
                val restarted =
                    listOf("r2", "r3").zip(routers.drop(1)).map { (id, router) ->
                        router.kill()
                        start(id, setOf(V1))
                    }

                table.comeBackFrom(copy)
                routers.first().kill()
                restarted.forEach { it.noticeEra() }

                assertEquals(List(2) { StreamOrigin.Known(V1) }, restarted.map { it.originOf(attempt) })
            }

        @Test
        fun `is refused if attempts of the same id began on two versions`() =
            originCaseTest(hasPeerLinks = true) {
                val (copy, routers) = startAll("r1", "r2")
                routers.openSecondVersion()
                routers.first().begin(attempt, V1)
                routers.first().begin(attempt, V2)
                delay(1_000)

                table.comeBackFrom(copy)
                routers.first().kill()
                routers.last().noticeEra()

                assertIs<StreamOrigin.Unknown>(routers.last().originOf(attempt))
            }
    }

    @Nested
    inner class `a stream whose router ends while it cannot reach the table` {
        @Test
        fun `goes on at any router, guarding against records that wait in one router only`() =
            originCaseTest(hasPeerLinks = true) {
                val (_, routers) = startAll("r1", "r2", "r3")
                routers.openSecondVersion()
                routers.first().link.isPartitioned = true
                routers.first().begin(attempt, V2)
                delay(PARTITION_MS)
                routers.first().kill()

                assertEquals(List(2) { StreamOrigin.Known(V2) }, routers.drop(1).map { it.originOf(attempt) })
                assertEquals(StreamOrigin.Known(V2), start("r4", setOf(V1, V2)).originOf(attempt))
            }

        @Test
        fun `goes on once the table is back for all, guarding against copies that are kept and not written`() =
            originCaseTest(hasPeerLinks = true) {
                val (_, routers) = startAll("r1", "r2", "r3")
                routers.openSecondVersion()
                table.isAvailable = false
                routers.first().begin(attempt, V2)
                delay(PARTITION_MS)
                routers.first().kill()
                table.isAvailable = true
                delay(SETTLE_MS)

                assertEquals(List(2) { StreamOrigin.Known(V2) }, routers.drop(1).map { it.originOf(attempt) })
            }
    }

    @Nested
    inner class `copies that are sent again after the links were interrupted` {
        @Test
        fun `are written once, guarding against rows that grow with each interruption`() =
            originCaseTest(hasPeerLinks = true) {
                val (copy, routers) = startAll("r1", "r2")
                routers.first().begin(attempt, V1)
                repeat(5) {
                    delay(SETTLE_MS)
                    interruptPeerLinks(forMs = SETTLE_MS)
                }
                delay(SETTLE_MS)

                table.comeBackFrom(copy)
                routers.first().kill()
                routers.last().noticeEra()
                delay(SETTLE_MS)

                assertEquals(
                    1,
                    table.copyRows().filter { it.key.startsWith(OriginKeys.STREAMS) }.sumOf { decodeStreams(it.value).orEmpty().size },
                )
                assertEquals(StreamOrigin.Known(V1), routers.last().originOf(attempt))
            }
    }

    @Nested
    inner class `copies of streams on one version` {
        @Test
        fun `cost a router two messages a second and no call of the table`() =
            originCaseTest(hasPeerLinks = true) {
                val (_, routers) = startAll("r1", "r2", "r3")
                val tableCallsBefore = usage.calls
                val peerCallsBefore = peerCalls

                repeat(CALM_S * STREAMS_PER_S) {
                    routers.first().begin(CallerAttemptId("a$it"), V1)
                    delay(1_000L / STREAMS_PER_S)
                }

                assertEquals(tableCallsBefore, usage.calls)
                assertTrue(peerCalls - peerCallsBefore <= CALM_S * 2 + 1, "${peerCalls - peerCallsBefore} messages")
            }
    }

    private companion object {
        /** Longer than a call of the table takes to fail. */
        private const val PARTITION_MS = 6_000L
        private const val CALM_S = 20
        private const val STREAMS_PER_S = 40
    }
}
