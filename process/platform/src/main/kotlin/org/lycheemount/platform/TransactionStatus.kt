package org.lycheemount.platform

import kotlinx.serialization.Serializable

/**
 * Status of a transaction in the table. The table keeps the ids of decided transactions for at least an hour after responding.
 *
 * @property outcome null when the transaction has not taken effect.
 */
@Serializable
data class TransactionStatus(
    val outcome: CommitOutcome?,
    val tableTimeMs: Long,
)
