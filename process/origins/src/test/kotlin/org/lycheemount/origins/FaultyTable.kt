package org.lycheemount.origins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.testing.FakeStoreEras
import org.lycheemount.testing.FakeTableLink
import org.lycheemount.testing.FakeTableService
import kotlin.random.Random

/** One router's connection to a shared table, which may be slow, and which counts calls and bytes in [usage]. */
internal class FaultyTable(
    private val table: FakeTableService,
    scope: CoroutineScope,
    random: Random,
    private val usage: TableUsage,
    private val link: FakeTableLink = FakeTableLink(table, scope, latencyMs = 2, random),
) : TableService by link {
    /** Eras that the router has noticed in responses over this connection. */
    val eras = FakeStoreEras()

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
        val era = table.era
        val result = link.scan(prefix, afterKey, limit)
        if (table.era != era) return TableResult.Unavailable("the connection broke")
        delay(responseDelayMs)
        if (losesResponses) return TableResult.Unavailable("the response is lost")
        if (result is TableResult.Response) {
            eras.notice(era)
            usage.bytesRead += result.value.rows.sumOf { it.key.length + it.value.length }
        }
        return result
    }

    override suspend fun commit(transaction: TableTransaction): TableResult<CommitOutcome> {
        usage.commits++
        usage.bytesWritten += transaction.writes.sumOf { it.key.length + (it.value?.length ?: 0) }
        usage.maxEntries = maxOf(usage.maxEntries, transaction.writes.size + transaction.checks.size)
        usage.maxRowBytes = maxOf(usage.maxRowBytes, transaction.writes.maxOfOrNull { it.value?.length ?: 0 } ?: 0)
        delay(delayMs)
        val era = table.era
        val result = link.commit(transaction)
        if (table.era != era) return TableResult.Unknown("the connection broke")
        delay(responseDelayMs)
        if (losesResponses) return TableResult.Unknown("the response is lost")
        if (result is TableResult.Response) eras.notice(era)
        return result
    }

    /** The router has got a response of the store to a call of another part of it. */
    fun noticeEra() = eras.notice(table.era)
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
