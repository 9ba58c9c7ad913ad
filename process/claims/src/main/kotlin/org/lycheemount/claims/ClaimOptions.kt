package org.lycheemount.claims

/**
 * How claims are kept.
 *
 * @property partitions number of key partitions; the same on all routers and for the life of the table.
 * @property outcomeLifetimeMs time for which a key is protected after its request ended. Also the time for which unknown
 *   keys are refused after both routers of a partition were lost with what they had not written.
 * @property callTimeoutMs time for one message between routers.
 * @property claimTimeoutMs time after which a claim that cannot be decided is refused.
 * @property flushIntervalMs time between two writes of outcomes to the table.
 * @property flushBatchSize outcomes in one write.
 * @property maxStoredBodyBytes greatest answer that is kept in the table; the outcome of a greater one is kept as unknown there.
 * @property refreshIntervalMs time between two reads of all partition rows.
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
