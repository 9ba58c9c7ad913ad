package org.lycheemount.platform

import kotlinx.serialization.Serializable

/**
 * What the table knows of a transaction id. The table keeps decided ids for at least an hour after it answered them.
 *
 * @property outcome null when the transaction has not taken effect.
 */
@Serializable
data class TransactionStatus(
    val outcome: CommitOutcome?,
    val tableTimeMs: Long,
)
