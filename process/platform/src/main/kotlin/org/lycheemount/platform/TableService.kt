package org.lycheemount.platform

/**
 * The platform's transactional table: rows of text under string keys, strictly serialisable.
 *
 * It sustains several hundred commits and about two thousand reads a second, and may be down or slow for hours.
 * A client passes its own timeout; a timeout is reported as [TableResult.Unknown] for commits.
 */
interface TableService {
    /** Reads [keys] in one snapshot; absent rows are missing from the result. */
    suspend fun read(keys: List<String>): TableResult<TableSnapshot>

    /** Reads up to [limit] rows whose key starts with [prefix] and sorts after [afterKey]. */
    suspend fun scan(
        prefix: String,
        afterKey: String? = null,
        limit: Int = DEFAULT_SCAN_LIMIT,
    ): TableResult<TableSnapshot>

    /** Applies all writes of [transaction] if all of its checks hold, and nothing otherwise. */
    suspend fun commit(transaction: TableTransaction): TableResult<CommitOutcome>

    /** Tells whether the transaction [transactionId] took effect; resolves a commit that ended as [TableResult.Unknown]. */
    suspend fun findTransaction(transactionId: String): TableResult<TransactionStatus>

    /** Defaults of the interface. */
    companion object {
        /** Rows returned by one scan unless the caller asks for another number. */
        const val DEFAULT_SCAN_LIMIT: Int = 500
    }
}
