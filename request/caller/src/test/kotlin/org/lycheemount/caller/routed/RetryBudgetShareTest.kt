package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import org.lycheemount.common.ServiceId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RetryBudgetShareTest {
    private val service = ServiceId("s")
    private val policy = RetryBudgetPolicy(ratio = 0.2, slack = 54.0, windowMs = 10_000)

    private class Fleet(
        private val policy: RetryBudgetPolicy,
        private val routers: Int,
    ) {
        val requestsAtMs = ArrayList<Long>()
        val retriesAtMs = ArrayList<Long>()
        private val shares = Array(routers) { RetryBudgetShare(policy) }

        /** Adds a request at one router and retries it as often as the router's share allows. */
        fun failRequest(
            router: Int,
            serviceId: ServiceId,
            nowMs: Long,
        ) {
            shares[router].onRequest(serviceId, nowMs)
            requestsAtMs += nowMs
            while (shares[router].tryRetry(serviceId, routers, nowMs)) retriesAtMs += nowMs
        }

        fun restartAll() = shares.indices.forEach { shares[it] = RetryBudgetShare(policy) }

        /** Returns the largest number of retries by which any window exceeds the shared budget; not positive if none does. */
        fun excessRetries(): Double =
            (0..100_000L step 100).maxOf { start ->
                val window = start until start + policy.windowMs
                val requests = requestsAtMs.count { it in window }
                retriesAtMs.count { it in window } - (policy.ratio * requests + policy.slack)
            }
    }

    @Nested
    inner class `routers that do not coordinate while every attempt fails` {
        @Test
        fun `stay within the shared budget in every window`() {
            val fleet = Fleet(policy, routers = 7)
            val random = Random(1)

            for (nowMs in 0..60_000L step 20) fleet.failRequest(random.nextInt(7), service, nowMs)

            assertTrue(fleet.excessRetries() <= 0, "retries above the shared budget: ${fleet.excessRetries()}")
        }

        @Test
        fun `stay within the shared budget when all of them restart at once with empty counts`() {
            val fleet = Fleet(policy, routers = 7)
            val random = Random(2)

            for (nowMs in 0..40_000L step 20) {
                if (nowMs == 21_000L) fleet.restartAll()
                fleet.failRequest(random.nextInt(7), service, nowMs)
            }

            assertTrue(fleet.excessRetries() <= 0, "retries above the shared budget: ${fleet.excessRetries()}")
        }
    }

    @Nested
    inner class `a router with few requests` {
        @Test
        fun `may retry some of them, guarding against failures that a single retry would avoid`() {
            val share = RetryBudgetShare(policy)
            share.onRequest(service, 0)

            assertTrue(share.tryRetry(service, routers = 7, nowMs = 0))
        }

        @Test
        fun `has its full share again after a window`() {
            val share = RetryBudgetShare(policy)
            val first = generateSequence { share.tryRetry(service, 7, 0).takeIf { it } }.count()

            val later = generateSequence { share.tryRetry(service, 7, policy.windowMs + 1).takeIf { it } }.count()

            assertEquals(first, later)
        }
    }
}
