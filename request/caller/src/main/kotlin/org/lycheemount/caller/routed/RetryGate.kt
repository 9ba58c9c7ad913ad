package org.lycheemount.caller.routed

import org.lycheemount.common.Clock
import org.lycheemount.common.ServiceId

/** The router's [RetryAllowance]. Safe to call from any thread. */
internal class RetryGate(
    private val terms: () -> RetryTerms,
    private val routerCount: () -> Int,
    private val clock: Clock,
) {
    private val allowance = RetryAllowance(terms())

    @Synchronized
    fun onRequest(serviceId: ServiceId) = allowance.onRequest(serviceId, clock.monotonicMs())

    @Synchronized
    fun tryRetry(serviceId: ServiceId): Boolean {
        allowance.terms = terms()
        return allowance.tryRetry(serviceId, routerCount(), clock.monotonicMs())
    }
}
