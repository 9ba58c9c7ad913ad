package org.lycheemount.claims

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ClaimDifferentialTest {
    private val teamId = TeamId("t")
    private val refusal = Refusal(RefusalReason.BACKEND_FAILED, "test")

    private fun randomOutcome(
        random: Random,
        requestId: RequestId,
    ): RecordedOutcome =
        when (random.nextInt(10)) {
            in 0..5 -> RecordedOutcome.Ran(200, "text/plain", requestId.value.encodeToByteArray())
            in 6..7 -> RecordedOutcome.NotRun(refusal)
            else -> RecordedOutcome.Unknown(refusal)
        }

    private suspend fun ClaimFleet.Router.claim(
        key: String,
        requestId: RequestId,
        fingerprint: String,
    ) = claims.registry.claim(teamId, IdempotencyKey(key), requestId, fingerprint)

    @Nested
    inner class `routers without faults` {
        @Test
        fun `decide every claim as a central map does`() {
            for (seed in 1..10) {
                runTest {
                    val fleet = ClaimFleet(this, seed = seed)
                    val reference = ReferenceClaims()
                    val random = Random(seed)
                    repeat(200) { step ->
                        val key = "k${random.nextInt(30)}"
                        val requestId = RequestId("q$step")
                        val fingerprint = "f${random.nextInt(20) / 19}"
                        val expected = reference.claim(key, requestId, fingerprint)

                        val actual = describe(fleet.routers.random(random).claim(key, requestId, fingerprint))

                        assertEquals(expected, actual, "seed $seed step $step key $key")
                        if (expected == "granted" && random.nextInt(4) > 0) {
                            val outcome = randomOutcome(random, requestId)
                            reference.finish(key, requestId, outcome)
                            fleet.routers
                                .random(random)
                                .claims.registry
                                .finish(teamId, IdempotencyKey(key), requestId, outcome)
                        }
                    }
                }
            }
        }
    }

    @Nested
    inner class `routers with network partitions, crashes, pauses, lost and duplicated messages and table outages` {
        @Test
        fun `grant no claim that a central map would refuse`() {
            var grantedCount = 0
            for (seed in 1..30) {
                runTest {
                    val run = RunWithFaults(this, seed)
                    run.run()
                    grantedCount += run.grantedCount
                }
            }

            assertTrue(grantedCount > 1_000, "only $grantedCount claims were granted, so the runs test too little")
        }
    }

    private inner class RunWithFaults(
        private val scope: TestScope,
        private val seed: Int,
    ) {
        private val fleet = ClaimFleet(scope, seed = seed)
        private val random = Random(seed)
        private val reference = ReferenceClaims()
        private val faultInjector = FaultInjector(scope, fleet, random)
        private var requestCount = 0
        var grantedCount = 0

        suspend fun run() {
            val faultJob = scope.backgroundScope.launch { faultInjector.injectFaults() }
            val requestJobs =
                (0 until REQUESTS).map { step ->
                    delay(random.nextLong(60))
                    scope.launch { sendRequest("k${step / 25}-${random.nextInt(4)}") }
                }
            requestJobs.forEach { it.join() }
            faultJob.cancel()
            faultInjector.endAllFaults()
            delay(RECOVERY_MS)
            assertNewClaimsAreDecided()
        }

        private suspend fun sendRequest(key: String) {
            val router = fleet.routers.filter { it.isRunning }.random(random)
            val requestId = RequestId("q${requestCount++}")
            val job = router.scope.launch { claimAndRun(router, key, requestId) }
            job.join()
        }

        private suspend fun claimAndRun(
            router: ClaimFleet.Router,
            key: String,
            requestId: RequestId,
        ) {
            val claimOutcome = router.claim(key, requestId, "f")
            if (claimOutcome !is ClaimOutcome.Granted) return
            grantedCount++
            assertEquals(
                "granted",
                reference.claim(key, requestId, "f"),
                "seed $seed: two requests run under $key, the second is ${requestId.value}",
            )
            delay(random.nextLong(400))
            val outcome = randomOutcome(random, requestId)
            reference.finish(key, requestId, outcome)
            router.claims.registry.finish(teamId, IdempotencyKey(key), requestId, outcome)
        }

        /** After the last fault, every router must decide on new keys of all partitions that did not lose both members. */
        private suspend fun assertNewClaimsAreDecided() {
            val outcomes =
                fleet.routers.flatMap { router ->
                    (0..9).map { describe(router.claim("new-${router.number}-$it", RequestId("n$it"), "f")) }
                }

            assertTrue(
                outcomes.all { it == "granted" || it == "finished unknown" },
                "seed $seed: $outcomes, rows ${fleet.describePartitionRows()}",
            )
        }
    }

    private companion object {
        private const val REQUESTS = 600
        private const val RECOVERY_MS = 20_000L
    }
}
