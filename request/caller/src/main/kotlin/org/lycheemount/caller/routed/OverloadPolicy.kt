package org.lycheemount.caller.routed

import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason

/**
 * Decides whether a router that runs short of processor time should take a request.
 *
 * The load pattern: callers send more than the processor of their router handles, so all requests share it and each becomes later, until
 * most end at their deadline after all of their work was done. A router that takes only what it can serve on time serves the most
 * requests, and those that it refuses at once can still be served by another router.
 *
 * The delay is measured for each request, as the time until it runs again after all tasks that were ready before it. It needs no timer
 * and is current at any rate of requests.
 */
internal object OverloadPolicy {
    /**
     * Estimated time that a request spent in this router before its handler started, between the arrival of its bytes and their parsing.
     *
     * @param queueDelayMs time for which a task that is ready waits for the processor.
     */
    fun waitBeforeHandlerMs(queueDelayMs: Long): Long = queueDelayMs * TURNS_BEFORE_HANDLER

    /**
     * Returns a refusal if the processor would delay the first byte of the response beyond half of the target of the route, as the server
     * needs the rest of it, or beyond half of the time that is left, or if the caller has given up by now.
     *
     * @param queueDelayMs time for which a task that is ready waits for the processor.
     * @param targetLatencyMs target of the route for the first byte.
     * @param remainingMs time from now until the caller gives up; not positive if it already has.
     */
    fun refusalFor(
        queueDelayMs: Long,
        targetLatencyMs: Long,
        remainingMs: Long,
    ): Refusal? {
        if (remainingMs <= 0) return Refusal(RefusalReason.DEADLINE_PAST, "the deadline passed before the request was read")
        val delayMs = queueDelayMs * TURNS_OF_REQUEST
        if (delayMs <= minOf(targetLatencyMs, remainingMs) / 2) return null
        val detail = "this router is short of processor time; its tasks wait $queueDelayMs ms"
        return Refusal(RefusalReason.OVERLOADED, detail, retryAfterMs = delayMs.coerceIn(MIN_RETRY_MS, MAX_RETRY_MS))
    }

    // Accepting a connection, reading its bytes and parsing the head of the request each take a turn of the processor.
    private const val TURNS_BEFORE_HANDLER = 3L

    // From the arrival of a request to the first byte of its response: the turns before the handler, the body, the reservation, the
    // connection to the server, the request, the response head, and passing the response on.
    private const val TURNS_OF_REQUEST = 10L
    private const val MIN_RETRY_MS = 100L
    private const val MAX_RETRY_MS = 1_000L
}
