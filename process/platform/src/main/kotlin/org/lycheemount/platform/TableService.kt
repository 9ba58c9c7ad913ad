package org.lycheemount.platform

/**
 * Transactional table of the platform: rows of text under string keys, with strict serialisability.
 *
 * The table sustains several hundred commits and about two thousand reads a second. It may be down or slow for hours.
 * Implementations apply a timeout to each call; a commit that times out is [TableResult.Unknown].
 */
interface TableService {
    /** Reads the rows under [keys] in one snapshot. The result omits absent rows. */
    suspend fun read(keys: List<String>): TableResult<TableSnapshot>

    /** Reads up to [limit] rows in key order whose keys start with [prefix] and sort after [afterKey]. */
    suspend fun scan(
        prefix: String,
        afterKey: String? = null,
        limit: Int = DEFAULT_SCAN_LIMIT,
    ): TableResult<TableSnapshot>

    /** Applies all writes of [transaction] if all of its checks hold, and none otherwise. */
    suspend fun commit(transaction: TableTransaction): TableResult<CommitOutcome>

    /** Returns whether the transaction [transactionId] took effect. Resolves a commit that ended as [TableResult.Unknown]. */
    suspend fun findTransaction(transactionId: String): TableResult<TransactionStatus>

    /** Defaults of the interface. */
    companion object {
        /** Default maximum number of rows returned by one scan. */
        const val DEFAULT_SCAN_LIMIT: Int = 500
    }
}
