package org.lycheemount.caller

import kotlinx.coroutines.CompletableDeferred

/** Counts the requests in progress and ends admission at shutdown. Safe to call from any thread. */
class DrainState {
    private val idleSignal = CompletableDeferred<Unit>()
    private var inProgress = 0
    private var shutdownAnnounced = false
    private var draining = false
    private var admittedUntilMs = Long.MIN_VALUE

    /** Requests that have been admitted and are not settled. */
    @get:Synchronized
    val requestsInProgress: Int get() = inProgress

    /** Whether shutdown has been announced. */
    @get:Synchronized
    val isDraining: Boolean get() = shutdownAnnounced

    /**
     * Admits one request, which [release] must follow. Once draining has begun, it admits only requests whose time is over before the
     * process ends.
     *
     * @param expiresAtMs monotonic time at which the request has ended for certain.
     */
    @Synchronized
    fun tryAdmit(expiresAtMs: Long = Long.MAX_VALUE): Boolean {
        if (draining && expiresAtMs > admittedUntilMs) return false
        inProgress++
        return true
    }

    /** Keeps the process from exiting for work that follows an admitted request, such as a cancellation. */
    @Synchronized
    fun retain() {
        inProgress++
    }

    /** Ends one admitted request. */
    @Synchronized
    fun release() {
        check(inProgress > 0) { "no request in progress" }
        inProgress--
        if (draining && inProgress == 0) completeDrain()
    }

    /** Fails the readiness check, so that the load balancer sends new work elsewhere before [startDraining] refuses it. */
    @Synchronized
    fun announceShutdown() {
        shutdownAnnounced = true
    }

    /**
     * Refuses new work from now on.
     *
     * @param admittedUntilMs monotonic time; requests that have ended by then are still admitted while others are in progress.
     */
    @Synchronized
    fun startDraining(admittedUntilMs: Long = Long.MIN_VALUE) {
        shutdownAnnounced = true
        draining = true
        this.admittedUntilMs = admittedUntilMs
        if (inProgress == 0) completeDrain()
    }

    private fun completeDrain() {
        admittedUntilMs = Long.MIN_VALUE
        idleSignal.complete(Unit)
    }

    /** Waits until no request is in progress after [startDraining]. */
    suspend fun awaitIdle() = idleSignal.await()
}
