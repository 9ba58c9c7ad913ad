package org.lycheemount.caller.routed

import org.lycheemount.common.Clock
import org.lycheemount.common.ServiceId

/** Thread-safe access to the [RetryBudgetShare] of this router. */
internal class RetryLimiter(
    private val policy: () -> RetryBudgetPolicy,
    private val routerCount: () -> Int,
    private val clock: Clock,
) {
    private val budgetShare = RetryBudgetShare(policy())

    @Synchronized
    fun onRequest(serviceId: ServiceId) = budgetShare.onRequest(serviceId, clock.monotonicMs())

    @Synchronized
    fun tryRetry(serviceId: ServiceId): Boolean {
        budgetShare.policy = policy()
        return budgetShare.tryRetry(serviceId, routerCount(), clock.monotonicMs())
    }
}
