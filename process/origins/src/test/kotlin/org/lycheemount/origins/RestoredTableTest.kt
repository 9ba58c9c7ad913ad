package org.lycheemount.origins

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Nested
import org.lycheemount.common.CallerAttemptId
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.testing.FakeTableService
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** The table comes back from a copy that is older than the opening of the second version. */
class RestoredTableTest {
    private val attempt = CallerAttemptId("attempt")

    /** Routers [ids] open the second version after the copy is made that is returned. */
    private suspend fun OriginCaseFleet.openAfterCopy(vararg ids: String): Pair<FakeTableService.Copy, List<OriginCaseRouter>> {
        val routers = ids.map { start(it, setOf(V1)) }
        val copy = table.copy()
        routers.forEach { it.list(setOf(V1, V2)) }
        delay(SETTLE_MS)
        return copy to routers
    }

    @Nested
    inner class `a stream whose record is lost` {
        @Test
        fun `is refused at a router that lists both versions, guarding against the older version as the only candidate`() =
            originCaseTest {
                val (copy, routers) = openAfterCopy("r1", "r2")
                routers.first().begin(attempt, V2)
                delay(SETTLE_MS)
                routers.first().kill()

                table.comeBackFrom(copy)

                assertIs<StreamOrigin.Unknown>(routers.last().originOf(attempt))
            }

        @Test
        fun `is refused once the versions have been written again, and by another router`() =
            originCaseTest {
                val (copy, routers) = openAfterCopy("r1", "r2", "r3")
                routers.first().begin(attempt, V2)
                delay(SETTLE_MS)
                routers.first().kill()
                table.comeBackFrom(copy)

                routers[1].noticeEra()
                delay(SETTLE_MS)

                assertIs<StreamOrigin.Unknown>(routers[1].originOf(attempt))
                assertIs<StreamOrigin.Unknown>(routers[2].originOf(attempt))
            }

        @Test
        fun `is refused by a router that starts when all others have ended and the servers of its version have left`() =
            originCaseTest {
                val (copy, routers) = openAfterCopy("r1", "r2")
                routers.first().begin(attempt, V2)
                delay(SETTLE_MS)
                routers.forEach { it.kill() }
                table.comeBackFrom(copy)

                val successor = start("r1", setOf(V1))

                assertIs<StreamOrigin.Unknown>(successor.originOf(attempt))
                delay(VersionHistory.RETENTION_MS)
                assertEquals(StreamOrigin.Known(V1), successor.originOf(attempt))
            }

        @Test
        fun `is refused after two returns, guarding against a router that has missed an era`() =
            originCaseTest {
                val (copy, routers) = openAfterCopy("r1", "r2")
                routers.first().begin(attempt, V2)
                delay(SETTLE_MS)
                routers.first().kill()
                table.comeBackFrom(copy)
                table.comeBackFrom(copy)

                assertIs<StreamOrigin.Unknown>(routers.last().originOf(attempt))
                assertIs<StreamOrigin.Unknown>(start("r3", setOf(V1)).originOf(attempt))
            }

        @Test
        fun `is refused after a transaction of the earlier era took effect late`() =
            originCaseTest {
                val (copy, routers) = openAfterCopy("r1", "r2")
                val earlier = copy.rows.single { it.key == OriginKeys.versions(SERVICE) }
                routers.first().begin(attempt, V2)
                delay(SETTLE_MS)
                routers.first().kill()
                table.comeBackFrom(copy)
                routers.last().noticeEra()
                delay(VersionHistory.RETENTION_MS + SETTLE_MS)

                writeRow(earlier.key, earlier.value)

                assertIs<StreamOrigin.Unknown>(routers.last().originOf(attempt))
            }
    }

    @Nested
    inner class `a stream of a router that runs on` {
        @Test
        fun `has its record written again, guarding against refusals once that router has ended`() =
            originCaseTest {
                val (copy, routers) = openAfterCopy("r1", "r2")
                routers.first().begin(attempt, V2)
                delay(SETTLE_MS)
                table.comeBackFrom(copy)
                routers.first().noticeEra()
                delay(1_000)
                routers.first().kill()

                assertEquals(StreamOrigin.Known(V2), routers.last().originOf(attempt))
                assertEquals(StreamOrigin.Known(V2), start("r3", setOf(V1, V2)).originOf(attempt))
            }

        @Test
        fun `goes on at another router that notices the return first`() =
            originCaseTest {
                val (copy, routers) = openAfterCopy("r1", "r2")
                routers.first().begin(attempt, V2)
                delay(SETTLE_MS)
                table.comeBackFrom(copy)
                routers.last().noticeEra()
                test.launch {
                    delay(1_000)
                    routers.first().noticeEra()
                }

                assertEquals(StreamOrigin.Known(V2), routers.last().originOf(attempt))
            }

        @Test
        fun `goes on if one version is in use, which needed no records before`() =
            originCaseTest {
                val router = start("r1", setOf(V1))
                val copy = table.copy()
                router.begin(attempt, V1)
                delay(SETTLE_MS)
                table.comeBackFrom(copy)
                router.noticeEra()
                delay(1_000)
                router.kill()

                assertEquals(StreamOrigin.Known(V1), start("r2", setOf(V1)).originOf(attempt))
            }
    }

    @Nested
    inner class `versions that the table has lost` {
        @Test
        fun `are in the table again with their earlier opening, and streams begin on them all the while`() =
            originCaseTest {
                val (copy, routers) = openAfterCopy("r1")
                val router = routers.single()
                val before = historyIn(table.copy())
                table.comeBackFrom(copy)

                router.noticeEra()
                assertEquals(setOf(V1, V2), router.origins.usableVersions(SERVICE))
                delay(SETTLE_MS)

                assertEquals(setOf(V1, V2), router.origins.usableVersions(SERVICE))
                assertEquals(before.uses, historyIn(table.copy()).uses)
            }

        @Test
        fun `are in the table again if it has no row of the service any more`() =
            originCaseTest {
                val copy = table.copy()
                val router = start("r1", setOf(V1))
                table.comeBackFrom(copy)

                router.noticeEra()
                delay(SETTLE_MS)

                assertEquals(setOf(V1), historyIn(table.copy()).uses.keys)
                assertIs<StreamOrigin.Unknown>(start("r2", setOf(V1)).originOf(attempt))
            }

        @Test
        fun `cost a large fleet no more than one write for each router`() =
            originCaseTest {
                routerCount = 95
                val (copy, routers) = openAfterCopy(*Array(routerCount) { "r$it" })
                val commitsBefore = usage.commits
                table.comeBackFrom(copy)

                routers.forEach { it.noticeEra() }
                delay(SETTLE_MS)

                assertEquals(setOf(V1, V2), historyIn(table.copy()).uses.keys)
                assertTrue(usage.commits - commitsBefore <= routerCount, "${usage.commits - commitsBefore} commits")
            }

        @Test
        fun `are none at services whose servers state no versions, and nothing is written`() =
            originCaseTest {
                val copy = table.copy()
                val router = start("r1", setOf(SoftwareVersion.UNSTATED))
                table.comeBackFrom(copy)

                router.noticeEra()
                delay(SETTLE_MS)

                assertEquals(StreamOrigin.AnyVersion, router.originOf(attempt))
                assertEquals(0, table.commitCount)
            }
    }

    private fun historyIn(copy: FakeTableService.Copy) =
        checkNotNull(decodeHistory(copy.rows.single { it.key == OriginKeys.versions(SERVICE) }.value))
}
