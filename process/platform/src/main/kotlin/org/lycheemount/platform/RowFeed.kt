package org.lycheemount.platform

import kotlinx.coroutines.delay

/** Rows of one table of the platform's store, followed from call to call. Used by one coroutine at a time. */
interface RowFeed {
    /** Store time at which the last successful [poll] was answered, in milliseconds; null before the first. */
    val lastResponseTableTimeMs: Long?

    /**
     * Reports all rows on the first call, and afterwards the changes since the last successful call, to [listener]. Returns false if
     * the store did not respond.
     */
    suspend fun poll(listener: RowListener): Boolean
}

/**
 * Reports rows and failures to [listener] until the coroutine is cancelled.
 *
 * @param pollIntervalMs pause after a successful call, unless the listener needs the next one sooner.
 * @param retryDelayMs pause after a failed call.
 */
suspend fun RowFeed.follow(
    listener: RowListener,
    pollIntervalMs: Long,
    retryDelayMs: Long,
) {
    while (true) {
        val succeeded = poll(listener)
        delay(if (succeeded) minOf(pollIntervalMs, listener.nextCallWithinMs ?: pollIntervalMs) else retryDelayMs)
    }
}
