package org.lycheemount.budget

import org.junit.jupiter.api.Nested
import org.lycheemount.testing.FakeEventLog
import kotlin.test.Test
import kotlin.test.assertEquals

class TransactionStatisticsTest {
    private val log = FakeEventLog()
    private val statistics = TransactionStatistics(log)

    private val lines get() = log.events.filter { (name, _) -> name == "table_transactions" }.map { (_, fields) -> fields }

    @Nested
    inner class `the transactions of an interval` {
        @Test
        fun `are logged in one line, so that a full partition of the table can be told from a budget without tokens`() {
            statistics.record(WriteAttemptResult.COMMITTED, sentAtMs = 0, nowMs = 4)
            statistics.record(WriteAttemptResult.CONFLICT, sentAtMs = 10, nowMs = 30)
            statistics.record(WriteAttemptResult.NO_RESPONSE, sentAtMs = 40, nowMs = 1_040)
            assertEquals(emptyList(), lines)

            statistics.record(WriteAttemptResult.COMMITTED, sentAtMs = 5_000, nowMs = 5_004)

            val expected = mapOf<String, Any?>("committed" to 1, "conflicts" to 1, "noResponse" to 1, "meanMs" to 341L, "maxMs" to 1_000L)
            assertEquals(listOf(expected), lines)
        }

        @Test
        fun `are not counted in the next one`() {
            statistics.record(WriteAttemptResult.CONFLICT, sentAtMs = 0, nowMs = 9)
            statistics.record(WriteAttemptResult.COMMITTED, sentAtMs = 6_000, nowMs = 6_003)
            statistics.record(WriteAttemptResult.COMMITTED, sentAtMs = 12_000, nowMs = 12_003)

            assertEquals(listOf<Any?>(1, 0), lines.map { it["conflicts"] })
            assertEquals(listOf<Any?>(9L, 3L), lines.map { it["maxMs"] })
        }
    }
}
