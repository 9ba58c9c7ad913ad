package org.lycheemount.origins

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.CallerAttemptId
import org.lycheemount.common.ServiceId
import org.lycheemount.common.SoftwareVersion
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class StreamOriginCasesTest {
    private val attempt = CallerAttemptId("attempt")

    @Nested
    inner class `a stream that is resumed after all routers lost power` {
        @Test
        fun `goes on at the only version in use, without a record`() =
            originCaseTest {
                val first = start("r1", setOf(V1))
                first.begin(attempt, V1)
                first.kill()

                val second = start("r2", setOf(V1))

                assertEquals(StreamOrigin.Known(V1), second.originOf(attempt))
            }

        @Test
        fun `goes on at the version that its record names while several are in use`() =
            originCaseTest {
                val first = start("r1", setOf(V1, V2))
                first.begin(attempt, V1)
                delay(SETTLE_MS)
                first.kill()

                val second = start("r2", setOf(V1, V2))

                assertEquals(StreamOrigin.Known(V1), second.originOf(attempt))
            }

        @Test
        fun `goes on if it began before a second version came, guarding against records of new streams only`() =
            originCaseTest {
                val first = start("r1", setOf(V1))
                first.begin(attempt, V1)
                delay(5_000)
                first.list(setOf(V1, V2))
                delay(SETTLE_MS)
                first.kill()

                val second = start("r2", setOf(V1, V2))

                assertEquals(StreamOrigin.Known(V1), second.originOf(attempt))
            }

        @Test
        fun `is refused if its record was lost while several versions are in use`() =
            originCaseTest {
                val first = start("r1", setOf(V1, V2))
                first.link.isPartitioned = true
                first.begin(attempt, V1)
                delay(SETTLE_MS)
                first.kill()

                val second = start("r2", setOf(V1, V2))

                assertIs<StreamOrigin.Unknown>(second.originOf(attempt))
            }

        @Test
        fun `is refused if the servers of its version have left and its record was lost`() =
            originCaseTest {
                val first = start("r1", setOf(V1))
                first.begin(attempt, V1)
                first.kill()

                val second = start("r2", setOf(V2))

                assertIs<StreamOrigin.Unknown>(second.originOf(attempt))
            }
    }

    @Nested
    inner class `a router that has not heard of a version yet` {
        @Test
        fun `does not take the one that it knows for the only one, guarding against an old server list`() =
            originCaseTest {
                val late = start("r1", setOf(V1))
                val early = start("r2", setOf(V1))
                early.list(setOf(V1, V2))
                delay(SETTLE_MS)
                early.begin(attempt, V2)

                val origin = late.originOf(attempt)

                assertEquals(StreamOrigin.Known(V2), origin)
            }

        @Test
        fun `refuses a stream without a record, guarding against an old server list`() =
            originCaseTest {
                val late = start("r1", setOf(V1))
                val early = start("r2", setOf(V1, V2))
                early.link.isPartitioned = true
                early.begin(attempt, V2)

                assertIs<StreamOrigin.Unknown>(late.originOf(attempt))
            }

        @Test
        fun `refuses streams of others while it cannot reach the table, and resumes its own`() =
            originCaseTest {
                val cutOff = start("r1", setOf(V1))
                cutOff.begin(CallerAttemptId("own"), V1)
                cutOff.link.isPartitioned = true

                assertIs<StreamOrigin.Unknown>(cutOff.originOf(attempt))
                assertEquals(StreamOrigin.Known(V1), cutOff.originOf(CallerAttemptId("own")))
            }
    }

    @Nested
    inner class `a stream without a known attempt` {
        @Test
        fun `goes on if there is only one version, and is refused without waiting if there are several`() =
            originCaseTest {
                val router = start("r1", setOf(V1))
                assertEquals(StreamOrigin.Known(V1), router.originOf(null))

                router.list(setOf(V1, V2))
                delay(SETTLE_MS)
                val startedAtMs = test.currentTime

                assertIs<StreamOrigin.Unknown>(router.originOf(null))
                assertTrue(test.currentTime - startedAtMs < SETTLE_MS)
            }

        @Test
        fun `is refused if the same attempt id began streams on two versions`() =
            originCaseTest {
                val first = start("r1", setOf(V1, V2))
                val second = start("r2", setOf(V1, V2))
                first.begin(attempt, V1)
                second.begin(attempt, V2)
                delay(SETTLE_MS)

                assertIs<StreamOrigin.Unknown>(start("r3", setOf(V1, V2)).originOf(attempt))
            }
    }

    @Nested
    inner class `streams begin` {
        @Test
        fun `on a new version only after the table has it, guarding against versions that others cannot know of`() =
            originCaseTest {
                val router = start("r1", setOf(V1))
                router.link.isPartitioned = true
                router.list(setOf(V1, V2))
                delay(SETTLE_MS)
                assertEquals(setOf(V1), router.origins.usableVersions(SERVICE))

                router.link.isPartitioned = false
                delay(SETTLE_MS)

                assertEquals(setOf(V1, V2), router.origins.usableVersions(SERVICE))
            }

        @Test
        fun `on a version that has left and come back only after the table has it again`() =
            originCaseTest {
                val router = start("r1", setOf(V1, V2))
                val other = start("r2", setOf(V1, V2))
                listOf(router, other).forEach { it.list(setOf(V1)) }
                delay(60_000)
                router.link.isPartitioned = true

                router.list(setOf(V1, V2))
                delay(SETTLE_MS)

                assertEquals(setOf(V1), router.origins.usableVersions(SERVICE))
            }

        @Test
        fun `on no more versions than a row holds, while those of other services are not affected`() =
            originCaseTest {
                val odd = List(200) { SoftwareVersion("$it") } + SoftwareVersion("x".repeat(60_000))
                val router = start("r1", emptySet())
                val other = serverOf(V1).copy(targets = setOf(BackendTarget.Service(ServiceId("other"))))

                router.origins.onBackendServers(odd.map { serverOf(it) } + other)
                delay(SETTLE_MS)

                assertEquals(ServiceVersions.MAX_VERSIONS, router.origins.usableVersions(SERVICE)?.size)
                assertEquals(setOf(V1), router.origins.usableVersions(ServiceId("other")))
                assertTrue(usage.maxRowBytes < 64_000)
                assertEquals(1, log.events.count { it.first == "service_versions_unusable" })
            }

        @Test
        fun `on no version before the table has been read`() =
            originCaseTest {
                table.isAvailable = false

                val router = start("r1", setOf(V1))

                assertEquals(emptySet(), router.origins.usableVersions(SERVICE))
            }
    }

    @Nested
    inner class `a version that has just come` {
        @Test
        fun `is not used for a moment, in which streams of routers that are gone still go on at the other one`() =
            originCaseTest {
                val first = start("r1", setOf(V1))
                first.begin(attempt, V1)
                first.kill()
                val second = start("r2", setOf(V1))

                second.list(setOf(V1, V2))
                delay(1_000)

                assertEquals(setOf(V1), second.origins.usableVersions(SERVICE))
                assertEquals(StreamOrigin.Known(V1), second.originOf(attempt))
            }

        @Test
        fun `is used at once if the other one has left, guarding against a service without servers to use`() =
            originCaseTest {
                val router = start("r1", setOf(V1))

                router.list(setOf(V1, V2))
                delay(500)
                router.list(setOf(V2))
                delay(500)

                assertEquals(setOf(V2), router.origins.usableVersions(SERVICE))
                assertIs<StreamOrigin.Unknown>(router.originOf(attempt))
            }
    }

    @Nested
    inner class `a new version beside servers that are all about to leave` {
        @Test
        fun `is used at once, guarding against a service without servers that take new streams`() =
            originCaseTest {
                val router = start("r1", setOf(V1))

                router.origins.onBackendServers(listOf(serverOf(V1).copy(leaving = true), serverOf(V2)))
                delay(500)

                assertEquals(setOf(V1, V2), router.origins.usableVersions(SERVICE))
            }
    }

    @Nested
    inner class `a version that has left` {
        @Test
        fun `counts for resumptions until its streams have ended, and then no more`() =
            originCaseTest {
                val router = start("r1", setOf(V1, V2))
                router.list(setOf(V2))
                delay(60_000)
                assertIs<StreamOrigin.Unknown>(router.originOf(attempt))

                delay(VersionHistory.RETENTION_MS)

                assertEquals(StreamOrigin.Known(V2), router.originOf(attempt))
            }
    }

    @Nested
    inner class `servers that state no versions` {
        @Test
        fun `get any stream, and the table gets nothing`() =
            originCaseTest {
                val router = start("r1", setOf(SoftwareVersion.UNSTATED))
                router.begin(attempt, SoftwareVersion.UNSTATED)
                delay(SETTLE_MS)

                assertEquals(null, router.origins.usableVersions(SERVICE))
                assertEquals(StreamOrigin.AnyVersion, router.originOf(attempt))
                assertEquals(0, table.commitCount)
            }

        @Test
        fun `are a version of their own beside others`() =
            originCaseTest {
                val router = start("r1", setOf(SoftwareVersion.UNSTATED))
                router.begin(CallerAttemptId("other"), SoftwareVersion.UNSTATED)

                router.list(setOf(V1))
                delay(SETTLE_MS)

                assertEquals(setOf(V1), router.origins.usableVersions(SERVICE))
                assertIs<StreamOrigin.Unknown>(start("r2", setOf(V1)).originOf(attempt))
            }
    }

    @Nested
    inner class `bad rows` {
        @Test
        fun `of versions make origins unknown for the time in which streams of lost versions may be resumed`() =
            originCaseTest {
                start("r1", setOf(V1))
                writeRow(OriginKeys.versions(SERVICE), "no history")

                val router = start("r2", setOf(V2))

                assertEquals(setOf(V2), router.origins.usableVersions(SERVICE))
                assertIs<StreamOrigin.Unknown>(router.originOf(attempt))
                delay(VersionHistory.RETENTION_MS)
                assertEquals(StreamOrigin.Known(V2), router.originOf(attempt))
            }

        @Test
        fun `of streams are passed over`() =
            originCaseTest {
                val first = start("r1", setOf(V1, V2))
                first.begin(attempt, V1)
                delay(SETTLE_MS)
                val streams = OriginKeys.streams(clock.wallClockMs())
                writeRow("$streams/x/1/0", "[]")
                writeRow("$streams/x/1/1", """{"streams":{"v1":"AAA"}}""")
                writeRow("$streams/x/1/2", """{"streams":{"v1":"-"},"later":1}""")
                writeRow("${OriginKeys.STREAMS}x", "x".repeat(64_000))

                assertEquals(StreamOrigin.Known(V1), start("r2", setOf(V1, V2)).originOf(attempt))
                assertEquals(4, log.events.count { it.first == "stream_origins_unreadable" })
            }

        @Test
        fun `with fields of a later release are read`() =
            originCaseTest {
                start("r1", setOf(V1))
                val row = table.copyRows().single { it.key == OriginKeys.versions(SERVICE) }
                writeRow(row.key, row.value.dropLast(1) + ""","later":{"a":[1]}}""")

                val router = start("r2", setOf(V1))

                assertEquals(StreamOrigin.Known(V1), router.originOf(attempt))
            }
    }

    @Nested
    inner class `the table` {
        @Test
        fun `gets no call in calm times, however many streams begin`() =
            originCaseTest {
                val routers = List(7) { start("r$it", setOf(V1)) }
                val callsAtStart = usage.calls

                repeat(CALM_STREAMS) { number ->
                    routers[number % routers.size].begin(CallerAttemptId("$number"), V1)
                    routers[number % routers.size].list(setOf(V1))
                    delay(100)
                }

                assertEquals(callsAtStart, usage.calls)
            }

        @Test
        fun `keeps no rows of streams that can no longer be resumed, nor those of earlier runs`() =
            originCaseTest {
                val first = start("r1", setOf(V1, V2))
                first.begin(attempt, V1)
                delay(SETTLE_MS)
                first.kill()
                val second = start("r1", setOf(V1, V2))
                second.begin(CallerAttemptId("other"), V1)
                delay(SETTLE_MS)
                assertEquals(2, rowKeys(OriginKeys.STREAMS).size)

                delay(2 * OriginJournal.MAX_AGE_MS)

                assertEquals(emptyList(), rowKeys(OriginKeys.STREAMS))
            }

        @Test
        fun `gets the records of an outage when it is back, guarding against records that are given up`() =
            originCaseTest {
                val first = start("r1", setOf(V1, V2))
                table.isAvailable = false
                first.begin(attempt, V1)
                delay(20_000)
                table.isAvailable = true
                delay(SETTLE_MS)
                first.kill()

                assertEquals(StreamOrigin.Known(V1), start("r2", setOf(V1, V2)).originOf(attempt))
            }
    }

    private companion object {
        private const val CALM_STREAMS = 6_000
    }
}
