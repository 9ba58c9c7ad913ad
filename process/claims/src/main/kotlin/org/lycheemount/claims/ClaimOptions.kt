package org.lycheemount.claims

/**
 * Options of the claim registry.
 *
 * @property partitions number of key partitions. Must be the same on all routers and must not change during the life of the table.
 * @property outcomeLifetimeMs retention of an outcome after its request ended, during which its key is protected. Also the time for
 *   which keys without a record are refused after both routers of a partition were lost, because they may have held unwritten records.
 * @property callTimeoutMs timeout of a call between routers.
 * @property claimTimeoutMs timeout after which an undecided claim is refused.
 * @property flushIntervalMs interval between writes of outcomes to the table.
 * @property flushBatchSize maximum number of outcomes in a write.
 * @property maxStoredBodyBytes maximum size of a response body stored in the table; outcomes with larger bodies are stored as unknown.
 * @property refreshIntervalMs interval between reads of all partition rows.
 */
data class ClaimOptions(
    val partitions: Int = 64,
    val outcomeLifetimeMs: Long = 7_200_000,
    val callTimeoutMs: Long = 500,
    val claimTimeoutMs: Long = 4_000,
    val flushIntervalMs: Long = 1_000,
    val flushBatchSize: Int = 50,
    val maxStoredBodyBytes: Int = 65_536,
    val refreshIntervalMs: Long = 30_000,
)
