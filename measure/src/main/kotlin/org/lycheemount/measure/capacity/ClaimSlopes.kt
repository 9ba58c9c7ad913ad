package org.lycheemount.measure.capacity

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.lycheemount.claims.ClaimOutcome
import org.lycheemount.claims.ClaimsModule
import org.lycheemount.claims.RecordedOutcome
import org.lycheemount.claims.createClaims
import org.lycheemount.common.DiscardingEventLog
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.RegionId
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.measure.control.CountingTableService
import org.lycheemount.measure.control.formatDecimal
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableService

private val claimCounts = listOf(500, 1_000, 2_000, 4_000)
private const val RESPONSE_BYTES = 1_200
private const val CLAIMS_FOR_TABLE = 1_000

internal fun claimSlopes(): List<Pair<String, Any>> =
    measureSlope("finished_claim_in_two_routers", "bytes", claimCounts) { claims ->
        ClaimFixture().run { retainedBytes { apply { claimAndFinish(claims) } } }
    } + tableUseFigures()

/** Returns table rows and commits per claim for claims that finish at one router's share of the request rate. */
private fun tableUseFigures(): List<Pair<String, Any>> {
    val fixture = ClaimFixture()
    fixture.advance(1_000)
    val commitsBefore = fixture.table.commits
    val rowsBefore = fixture.table.rowsWritten
    fixture.claimAndFinish(CLAIMS_FOR_TABLE)
    fixture.advance(60_000)
    return listOf(
        "capacity_claim_rows_written_each" to formatDecimal((fixture.table.rowsWritten - rowsBefore).toDouble() / CLAIMS_FOR_TABLE),
        "capacity_claim_commits_each" to formatDecimal((fixture.table.commits - commitsBefore).toDouble() / CLAIMS_FOR_TABLE),
    )
}

/** Two routers that store the claims of all partitions; they write outcomes to the table only during [advance]. */
@OptIn(ExperimentalCoroutinesApi::class)
private class ClaimFixture {
    private val clock = FakeClock()
    private val scheduler = TestCoroutineScheduler()
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler) + SupervisorJob())
    private val network = FakePeerNetwork(scope)
    val table = CountingTableService(FakeTableService(clock), clock)
    private val modules: List<ClaimsModule> =
        (0 until 2).map {
            val identity = RouterIdentity(RouterId("router-$it"), VmId("vm-$it"), RegionId("region"), ZoneId("zone-$it"), 1)
            createClaims(table, network.join(identity), clock, DiscardingEventLog, isGone = { false }).apply { start(scope) }
        }

    fun claimAndFinish(claims: Int) {
        var granted = 0
        val job =
            scope.launch {
                for (number in 0 until claims) {
                    val registry = modules[number % 2].registry
                    val requestId = RequestId("request-$number")
                    val key = IdempotencyKey("order-$number")
                    if (registry.claim(TEAM, key, requestId, "fingerprint-$number") is ClaimOutcome.Granted) granted++
                    registry.finish(TEAM, key, requestId, RecordedOutcome.Ran(200, "application/json", ByteArray(RESPONSE_BYTES)))
                }
            }
        while (!job.isCompleted) advance(STEP_MS)
        check(granted == claims) { "$granted of $claims claims were granted" }
    }

    fun advance(byMs: Long) {
        val endMs = clock.nowMs + byMs
        while (clock.nowMs < endMs) {
            clock.advance(STEP_MS)
            scheduler.advanceTimeBy(STEP_MS)
            scheduler.runCurrent()
        }
    }

    private companion object {
        private const val STEP_MS = 10L
        private val TEAM = TeamId("team")
    }
}
