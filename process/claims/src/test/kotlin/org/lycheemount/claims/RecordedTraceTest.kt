package org.lycheemount.claims

import kotlinx.coroutines.test.runTest
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId
import kotlin.test.Test
import kotlin.test.assertEquals

class RecordedTraceTest {
    @Serializable
    private data class Step(
        val router: Int,
        val operation: String,
        val key: String = "",
        val request: String = "",
        val body: String = "",
        val outcome: String = "",
        @SerialName("answer") val responseBody: String = "",
        val expect: String = "",
    )

    private fun replay(name: String) =
        runTest {
            val fleet = ClaimFleet(this)
            val lines = checkNotNull(javaClass.getResource("/traces/$name.jsonl")).readText().trim().lines()
            lines.map { Json.decodeFromString<Step>(it) }.forEachIndexed { index, step -> runStep(fleet, step, "$name line ${index + 1}") }
        }

    private suspend fun runStep(
        fleet: ClaimFleet,
        step: Step,
        location: String,
    ) {
        val router = fleet.routers[step.router - 1]
        val registry = router.claims.registry
        val key = IdempotencyKey(step.key)
        when (step.operation) {
            "claim" -> assertEquals(step.expect, describe(registry.claim(TeamId("t"), key, RequestId(step.request), step.body)), location)
            "finish" -> registry.finish(TeamId("t"), key, RequestId(step.request), outcomeOf(step))
            "die" -> router.kill()
            "confirmGone" -> fleet.confirmGone(router)
            "tableDown" -> fleet.table.isAvailable = false
            else -> error("$location: unknown operation ${step.operation}")
        }
    }

    private fun outcomeOf(step: Step): RecordedOutcome =
        when (step.outcome) {
            "ran" -> RecordedOutcome.Ran(200, "text/plain", step.responseBody.encodeToByteArray())
            "not run" -> RecordedOutcome.NotRun(Refusal(RefusalReason.NO_BACKEND_SERVER, "test"))
            else -> RecordedOutcome.Unknown(Refusal(RefusalReason.BACKEND_FAILED, "test"))
        }

    @Nested
    inner class `a recorded trace` {
        @Test
        fun `of a refill order sent twice runs it once and returns its outcome to retries`() = replay("refill-order-sent-twice")

        @Test
        fun `of a fitting booked at two routers runs only the first booking`() = replay("fitting-booked-at-two-routers")

        @Test
        fun `of a read that was not run lets a later request run it once`() = replay("lost-read")
    }
}
