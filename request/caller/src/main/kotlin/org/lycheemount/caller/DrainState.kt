package org.lycheemount.caller

import kotlinx.coroutines.CompletableDeferred

/** Counts the requests in progress and ends admission at shutdown. Safe to call from any thread. */
class DrainState {
    private val idle = CompletableDeferred<Unit>()
    private var inProgress = 0
    private var announced = false
    private var draining = false
    private var admittedUntilMs = Long.MIN_VALUE

    /** Requests that have been admitted and are not settled. */
    @get:Synchronized
    val requestsInProgress: Int get() = inProgress

    /** Whether shutdown has been announced. */
    @get:Synchronized
    val isDraining: Boolean get() = announced

    /**
     * Admits one request, which [leave] must follow. Once draining has begun, it admits only requests whose time is over before the
     * process ends.
     *
     * @param expiresAtMs monotonic time at which the request has ended for certain.
     */
    @Synchronized
    fun enter(expiresAtMs: Long = Long.MAX_VALUE): Boolean {
        if (draining && expiresAtMs > admittedUntilMs) return false
        inProgress++
        return true
    }

    /** Keeps the process from exiting for work that follows an admitted request, such as a cancellation. */
    @Synchronized
    fun extend() {
        inProgress++
    }

    /** Ends one admitted request. */
    @Synchronized
    fun leave() {
        check(inProgress > 0) { "no request in progress" }
        inProgress--
        if (draining && inProgress == 0) end()
    }

    /** Fails the readiness check, so that the load balancer sends new work elsewhere before [begin] refuses it. */
    @Synchronized
    fun announce() {
        announced = true
    }

    /**
     * Refuses new work from now on.
     *
     * @param admittedUntilMs monotonic time; requests that have ended by then are still admitted while others are in progress.
     */
    @Synchronized
    fun begin(admittedUntilMs: Long = Long.MIN_VALUE) {
        announced = true
        draining = true
        this.admittedUntilMs = admittedUntilMs
        if (inProgress == 0) end()
    }

    private fun end() {
        admittedUntilMs = Long.MIN_VALUE
        idle.complete(Unit)
    }

    /** Waits until no request is in progress after [begin]. */
    suspend fun awaitIdle() = idle.await()
}
