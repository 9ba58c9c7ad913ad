package org.lycheemount.membership

import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction

/** Commits [transaction]. Returns false after a conflict, and if the outcome is unknown: it may have taken effect or yet take effect. */
internal suspend fun TableService.tryCommit(transaction: TableTransaction): Boolean {
    val result = commit(transaction)
    return result is TableResult.Response && result.value is CommitOutcome.Committed
}
