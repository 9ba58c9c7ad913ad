package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import org.lycheemount.common.ServiceId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RetryAllowanceTest {
    private val service = ServiceId("s")
    private val terms = RetryTerms(ratio = 0.2, slack = 54.0, windowMs = 10_000)

    private class Fleet(
        private val terms: RetryTerms,
        private val routers: Int,
    ) {
        val requestsAtMs = ArrayList<Long>()
        val retriesAtMs = ArrayList<Long>()
        private val allowances = Array(routers) { RetryAllowance(terms) }

        /** A request at one router, each attempt of which fails. */
        fun fail(
            router: Int,
            serviceId: ServiceId,
            nowMs: Long,
        ) {
            allowances[router].onRequest(serviceId, nowMs)
            requestsAtMs += nowMs
            while (allowances[router].tryRetry(serviceId, routers, nowMs)) retriesAtMs += nowMs
        }

        fun restartAll() = allowances.indices.forEach { allowances[it] = RetryAllowance(terms) }

        fun excess(): Double =
            (0..100_000L step 100).maxOf { start ->
                val window = start until start + terms.windowMs
                val requests = requestsAtMs.count { it in window }
                retriesAtMs.count { it in window } - (terms.ratio * requests + terms.slack)
            }
    }

    @Nested
    inner class `routers that cannot see one another while every attempt fails` {
        @Test
        fun `stay within the common budget in every window`() {
            val fleet = Fleet(terms, routers = 7)
            val random = Random(1)

            for (nowMs in 0..60_000L step 20) fleet.fail(random.nextInt(7), service, nowMs)

            assertTrue(fleet.excess() <= 0, "${fleet.excess()} retries too many")
        }

        @Test
        fun `stay within it when all of them restart at once and count anew`() {
            val fleet = Fleet(terms, routers = 7)
            val random = Random(2)

            for (nowMs in 0..40_000L step 20) {
                if (nowMs == 21_000L) fleet.restartAll()
                fleet.fail(random.nextInt(7), service, nowMs)
            }

            assertTrue(fleet.excess() <= 0, "${fleet.excess()} retries too many")
        }
    }

    @Nested
    inner class `a router with few requests` {
        @Test
        fun `may retry some of them, guarding against failures that one repetition would mend`() {
            val allowance = RetryAllowance(terms)
            allowance.onRequest(service, 0)

            assertTrue(allowance.tryRetry(service, routers = 7, nowMs = 0))
        }

        @Test
        fun `has its allowance again after a window`() {
            val allowance = RetryAllowance(terms)
            val first = generateSequence { allowance.tryRetry(service, 7, 0).takeIf { it } }.count()

            val later = generateSequence { allowance.tryRetry(service, 7, terms.windowMs + 1).takeIf { it } }.count()

            assertEquals(first, later)
        }
    }
}
