package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.RouterId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ColdRequestShareTest {
    private val random = Random(1)

    private fun ids(count: Int) = (0 until count).map { RouterId("router-$it") }

    private fun share(
        self: RouterId,
        listed: List<RouterId>,
        slotsPerS: Double,
        sinceMs: Long = 0,
    ) = ColdRequestShare(SERVER_HASH, slotsPerS, RouterFleet(self, listed, -random.nextLong(MAX_CLOCK_ERROR_MS)), sinceMs)

    /**
     * Most requests in a second from [fromMs] on: nothing is sent before, so that all routers hold what they may hold, and then every
     * permit at once.
     */
    private fun requestsOfWorstSecond(
        shares: List<RequestShare>,
        fromMs: Long,
    ): Int =
        (fromMs until fromMs + 1_000).sumOf { nowMs ->
            shares.sumOf { share ->
                val available = share.availableRequests(nowMs)
                repeat(available) { share.onRequest(nowMs) }
                available
            }
        }

    private fun bound(
        policy: ColdLimitPolicy,
        coldPerS: Double,
    ) = maxOf(1.0, coldPerS * policy.overage + policy.slack)

    @Nested
    inner class `a cold server` {
        @Test
        fun `gets no more than its bound in the worst second, guarding against permits that are used late and clocks that differ`() {
            for (policy in listOf(ColdLimitPolicy(1.5, 5.0), ColdLimitPolicy())) {
                for (coldPerS in listOf(0.5, 1.0, 3.0, 9.0, 40.0)) {
                    for (routers in listOf(1, 7, 30, 95)) {
                        repeat(20) {
                            val shares = ids(routers).map { share(it, ids(routers), policy.slotsPerS(coldPerS)) }
                            val requests = requestsOfWorstSecond(shares, fromMs = 5_000L + random.nextLong(20_000))
                            assertTrue(requests <= bound(policy, coldPerS), "$requests at $coldPerS with $policy and $routers routers")
                        }
                    }
                }
            }
        }

        @Test
        fun `gets no more than its bound while half of the routers do not know a new one, guarding against lists that differ`() {
            val policy = ColdLimitPolicy(1.5, 5.0)
            for (routers in listOf(7, 30, 95)) {
                repeat(200) {
                    val shares =
                        ids(routers + 1).mapIndexed { index, self ->
                            share(self, ids(if (index % 2 == 1 && index < routers) routers else routers + 1), policy.slotsPerS(9.0))
                        }
                    val requests = requestsOfWorstSecond(shares, fromMs = 5_000L + random.nextLong(20_000))
                    assertTrue(requests <= 18.5, "$requests with $routers routers")
                }
            }
        }
    }

    @Nested
    inner class `the limit of a cold server` {
        @Test
        fun `is used up by routers that always have a request`() {
            for (routers in listOf(1, 7, 95)) {
                val shares = ids(routers).map { share(it, ids(routers), slotsPerS = 9.0) }
                val requests = (0..60L).sumOf { requestsOfWorstSecond(shares, it * 1_000) }
                assertTrue(requests in 540..550, "$requests in 61 s with $routers routers")
            }
        }
    }

    @Nested
    inner class `a router` {
        @Test
        fun `that has just heard of a cold server does not use earlier permits`() {
            val share = share(RouterId("router-0"), ids(1), slotsPerS = 9.0, sinceMs = 10_000)

            assertEquals(0, share.availableRequests(10_000))
        }

        @Test
        fun `sends nothing to a cold server if it is not in the list of routers`() {
            val share = share(RouterId("router-9"), ids(3), slotsPerS = 9.0)

            assertEquals(0, share.availableRequests(10_000))
            assertEquals(null, share.nextPermitAtMs(10_000))
        }

        @Test
        fun `knows when its next permit begins, guarding against requests that wait although a permit is there`() {
            for (routers in listOf(1, 7, 600)) {
                val share = share(RouterId("router-0"), ids(routers), slotsPerS = 9.0)
                var nowMs = 0L
                var asked = 0
                while (share.availableRequests(nowMs) == 0) {
                    val nextMs = checkNotNull(share.nextPermitAtMs(nowMs))
                    assertTrue(nextMs > nowMs)
                    assertTrue((nowMs until nextMs).all { share.availableRequests(it) == 0 })
                    nowMs = nextMs
                    asked++
                }
                assertTrue(asked <= 100, "$asked times with $routers routers")
            }
        }
    }

    private companion object {
        private const val SERVER_HASH = 115
        private const val MAX_CLOCK_ERROR_MS = 100L
    }
}
