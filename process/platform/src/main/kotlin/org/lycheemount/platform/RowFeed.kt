package org.lycheemount.platform

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

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
 * @param retryIntervalMs time from the start of a failed call to the next call; a call that took longer is followed by the next at once.
 */
suspend fun RowFeed.follow(
    listener: RowListener,
    pollIntervalMs: Long,
    retryIntervalMs: Long,
): Unit =
    coroutineScope {
        while (true) {
            val retryInterval = launch { delay(retryIntervalMs) }
            if (poll(listener)) {
                retryInterval.cancel()
                delay(minOf(pollIntervalMs, listener.nextCallWithinMs ?: pollIntervalMs))
            } else {
                retryInterval.join()
            }
        }
    }
