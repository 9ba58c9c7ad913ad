package org.lycheemount.platform

/** The platform's object store for large or rarely read values. It is unavailable whenever the table is. */
interface ObjectStore {
    /** Stores [content] under [key] and replaces any earlier value. */
    suspend fun put(
        key: String,
        content: ByteArray,
    ): TableResult<Unit>

    /** Returns the value under [key]; `Response(null)` when there is none. */
    suspend fun get(key: String): TableResult<ByteArray?>
}
