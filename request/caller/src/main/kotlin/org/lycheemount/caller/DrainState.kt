package org.lycheemount.caller

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason

/** Cancels the work on a request because the process is about to exit. */
internal class ShutdownException : CancellationException("the router is shutting down")

/** Refuses a request as not run because the process is about to exit. */
internal fun drainingRefusal(retryAfterMs: Long) = Refusal(RefusalReason.DRAINING, "this router is shutting down", retryAfterMs)

/** Counts the requests in progress, stops admission at shutdown and ends what is still running. Thread-safe. */
class DrainState {
    private val idleSignal = CompletableDeferred<Unit>()
    private var inProgress = 0
    private var shutdownAnnounced = false
    private var draining = false
    private var admittedUntilMs = Long.MIN_VALUE
    private val cancellableWork = HashSet<Job>()
    private var requestsEnded = false

    /** Number of requests that have been admitted and not yet settled. */
    @get:Synchronized
    val requestsInProgress: Int get() = inProgress

    /** Whether shutdown has been announced. */
    @get:Synchronized
    val isDraining: Boolean get() = shutdownAnnounced

    /**
     * Admits one request, which must be ended with [release]. While draining, only requests that expire before the process exits are
     * admitted.
     *
     * @param expiresAtMs monotonic time by which the request has certainly ended.
     */
    @Synchronized
    fun tryAdmit(expiresAtMs: Long = Long.MAX_VALUE): Boolean {
        if (draining && expiresAtMs > admittedUntilMs) return false
        inProgress++
        return true
    }

    /** Counts follow-up work of an admitted request, such as a cancellation, so that the process does not exit before its [release]. */
    @Synchronized
    fun retain() {
        inProgress++
    }

    /** Ends one admitted request or its follow-up work. */
    @Synchronized
    fun release() {
        check(inProgress > 0) { "no request in progress" }
        inProgress--
        if (draining && inProgress == 0) completeDrain()
    }

    /** Fails the readiness check, so that the load balancer stops sending requests before [startDraining] refuses them. */
    @Synchronized
    fun announceShutdown() {
        shutdownAnnounced = true
    }

    /**
     * Refuses new requests from now on.
     *
     * @param admittedUntilMs monotonic time; requests that expire by then are still admitted while others are in progress.
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

    /** Runs [work], which [endRequests] cancels with a [ShutdownException]. Call it in a coroutine scope that [work] does not share. */
    internal suspend fun <T> cancelAtEnd(work: suspend () -> T): T {
        val job = currentCoroutineContext().job
        addCancellable(job)
        try {
            return work()
        } finally {
            synchronized(this) { cancellableWork -= job }
        }
    }

    /** Cancels the work of all requests that are still running, and that of later ones. Returns the number of those it cancelled. */
    fun endRequests(): Int {
        val jobs =
            synchronized(this) {
                requestsEnded = true
                cancellableWork.toList()
            }
        jobs.forEach { it.cancel(ShutdownException()) }
        return jobs.size
    }

    @Synchronized
    private fun addCancellable(job: Job) {
        if (requestsEnded) throw ShutdownException()
        cancellableWork += job
    }
}
