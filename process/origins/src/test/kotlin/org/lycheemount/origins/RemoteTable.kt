package org.lycheemount.origins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction

/** Handles calls to [table] in [scope], so that they go on while their caller is frozen, and their responses wait for it. */
internal class RemoteTable(
    private val table: TableService,
    private val scope: CoroutineScope,
) : TableService by table {
    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): TableResult<TableSnapshot> = scope.async { table.scan(prefix, afterKey, limit) }.await()

    override suspend fun commit(transaction: TableTransaction): TableResult<CommitOutcome> =
        scope.async { table.commit(transaction) }.await()
}
