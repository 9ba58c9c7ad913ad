package org.lycheemount.origins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.testing.FakeTableLink
import kotlin.random.Random

/** One router's connection to a shared table, which may be slow, and which counts calls and bytes in [usage]. */
internal class FaultyTable(
    table: TableService,
    scope: CoroutineScope,
    random: Random,
    private val usage: TableUsage,
    private val link: FakeTableLink = FakeTableLink(table, scope, latencyMs = 2, random),
) : TableService by link {
    /** While true, no call reaches the table. */
    var isPartitioned: Boolean by link::isPartitioned

    /** Share of commits that take effect but whose response is lost. */
    var lostResponseShare: Double by link::droppedResponseShare

    /** Share of commits that take effect only after their caller has timed out. */
    var lateCommitShare: Double by link::lateCommitShare

    /** Additional time that each call takes. */
    var delayMs: Long = 0

    /** Time by which each response is late. */
    var responseDelayMs: Long = 0

    /** While true, calls take effect, and their responses are lost. */
    var losesResponses: Boolean = false

    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): TableResult<TableSnapshot> {
        usage.scans++
        delay(delayMs)
        val result = link.scan(prefix, afterKey, limit)
        delay(responseDelayMs)
        if (losesResponses) return TableResult.Unavailable("the response is lost")
        if (result is TableResult.Response) usage.bytesRead += result.value.rows.sumOf { it.key.length + it.value.length }
        return result
    }

    override suspend fun commit(transaction: TableTransaction): TableResult<CommitOutcome> {
        usage.commits++
        usage.bytesWritten += transaction.writes.sumOf { it.key.length + (it.value?.length ?: 0) }
        usage.maxEntries = maxOf(usage.maxEntries, transaction.writes.size + transaction.checks.size)
        usage.maxRowBytes = maxOf(usage.maxRowBytes, transaction.writes.maxOfOrNull { it.value?.length ?: 0 } ?: 0)
        delay(delayMs)
        val result = link.commit(transaction)
        delay(responseDelayMs)
        return if (losesResponses) TableResult.Unknown("the response is lost") else result
    }
}

/** Use of a table by a fleet. */
internal class TableUsage {
    var scans = 0
    var commits = 0
    var bytesRead = 0L
    var bytesWritten = 0L
    var maxEntries = 0
    var maxRowBytes = 0

    val calls: Int get() = scans + commits

    override fun toString() = "$scans scans, $commits commits, $bytesRead bytes read, $bytesWritten bytes written"
}
