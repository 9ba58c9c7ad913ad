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

    private fun outcome(
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
    inner class `without faults` {
        @Test
        fun `every claim at any router ends as in a central map`() {
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

                        val real = describe(fleet.routers.random(random).claim(key, requestId, fingerprint))

                        assertEquals(expected, real, "seed $seed step $step key $key")
                        if (expected == "granted" && random.nextInt(4) > 0) {
                            val ended = outcome(random, requestId)
                            reference.finish(key, requestId, ended)
                            fleet.routers
                                .random(random)
                                .claims.registry
                                .finish(teamId, IdempotencyKey(key), requestId, ended)
                        }
                    }
                }
            }
        }
    }

    @Nested
    inner class `with partitions, killed routers, pauses, lost and duplicated messages and table outages` {
        @Test
        fun `no claim is granted that a central map would not grant`() {
            var granted = 0
            for (seed in 1..30) {
                runTest {
                    val trace = FaultyTrace(this, seed)
                    trace.run()
                    granted += trace.granted
                }
            }

            assertTrue(granted > 1_000, "only $granted claims were granted, so the traces test too little")
        }
    }

    private inner class FaultyTrace(
        private val scope: TestScope,
        private val seed: Int,
    ) {
        private val fleet = ClaimFleet(scope, seed = seed)
        private val random = Random(seed)
        private val reference = ReferenceClaims()
        private val faults = FaultInjector(scope, fleet, random)
        private var requests = 0
        var granted = 0

        suspend fun run() {
            val script = scope.backgroundScope.launch { faults.run() }
            val work =
                (0 until REQUESTS).map { step ->
                    delay(random.nextLong(60))
                    scope.launch { request("k${step / 25}-${random.nextInt(4)}") }
                }
            work.forEach { it.join() }
            script.cancel()
            faults.endAll()
            delay(SETTLING_MS)
            assertAvailable()
        }

        private suspend fun request(key: String) {
            val router = fleet.routers.filter { it.alive }.random(random)
            val requestId = RequestId("q${requests++}")
            val job = router.scope.launch { claimAndRun(router, key, requestId) }
            job.join()
        }

        private suspend fun claimAndRun(
            router: ClaimFleet.Router,
            key: String,
            requestId: RequestId,
        ) {
            val outcome = router.claim(key, requestId, "f")
            if (outcome !is ClaimOutcome.Granted) return
            granted++
            assertEquals(
                "granted",
                reference.claim(key, requestId, "f"),
                "seed $seed: two requests run under $key, the second is ${requestId.value}",
            )
            delay(random.nextLong(400))
            val ended = outcome(random, requestId)
            reference.finish(key, requestId, ended)
            router.claims.registry.finish(teamId, IdempotencyKey(key), requestId, ended)
        }

        /** After the last fault, every router must decide on new keys of all partitions that did not lose both members. */
        private suspend fun assertAvailable() {
            val outcomes =
                fleet.routers.flatMap { router ->
                    (0..9).map { describe(router.claim("new-${router.number}-$it", RequestId("n$it"), "f")) }
                }

            assertTrue(outcomes.all { it == "granted" || it == "finished unknown" }, "seed $seed: $outcomes, rows ${fleet.partitionRows()}")
        }
    }

    private companion object {
        private const val REQUESTS = 600
        private const val SETTLING_MS = 20_000L
    }
}
