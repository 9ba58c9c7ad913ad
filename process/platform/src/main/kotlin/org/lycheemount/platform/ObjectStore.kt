package org.lycheemount.platform

/** The platform's object store for large or rarely read values. It shares the table's outages. */
interface ObjectStore {
    /** Stores [content] under [key], replacing an earlier value. */
    suspend fun put(
        key: String,
        content: ByteArray,
    ): TableResult<Unit>

    /** Returns the value under [key]; `Answered(null)` when there is none. */
    suspend fun get(key: String): TableResult<ByteArray?>
}
