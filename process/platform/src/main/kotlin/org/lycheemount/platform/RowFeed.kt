package org.lycheemount.platform

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
