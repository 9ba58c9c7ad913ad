package org.lycheemount.membership

import kotlinx.coroutines.delay
import org.lycheemount.common.EventLog
import org.lycheemount.common.VmId
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction
import java.util.UUID

/**
 * Returns the incarnation of a process that starts on the VM [vmId]. It is greater than those of all earlier processes on the VM, also
 * after the time of day was stepped back: peers ignore a process whose incarnation is lower than that of its predecessor, and the process
 * does not reclaim the grants of that. Each process writes its incarnation to [table]. Waits until the table has it.
 *
 * @param wallClockMs lower bound, for predecessors that are missing in the table: those of a release without the row, and those whose
 *   rows were lost when the table was restored from an older copy.
 */
suspend fun awaitIncarnation(
    table: TableService,
    vmId: VmId,
    wallClockMs: Long,
    eventLog: EventLog,
): Long {
    val key = "$PREFIX${vmId.value}"
    var hasLogged = false
    while (true) {
        val current = table.read(listOf(key))
        if (current is TableResult.Response) {
            val row = current.value.find(key)
            val incarnation = maxOf(wallClockMs, 1 + predecessorOf(row, eventLog))
            val check = RowCheck(key, row?.version ?: 0)
            val write = RowWrite(key, incarnation.toString())
            // A write without a response may have taken effect; the next read shows it, and the next incarnation is greater.
            if (table.tryCommit(
                    TableTransaction("$TRANSACTION_NAME-${UUID.randomUUID()}", listOf(check), listOf(write)),
                )
            ) {
                return incarnation
            }
        } else if (!hasLogged) {
            eventLog.warn("incarnation_awaited", "key" to key, "error" to current)
            hasLogged = true
        }
        delay(RETRY_MS)
    }
}

/**
 * Writes [incarnation] of the process that runs on the VM [vmId] to [table] again if it is missing in the first era that the store states,
 * or each time the store has come back from an older copy without it, so that the next process on the VM has a greater one. Runs until it
 * is cancelled.
 */
suspend fun keepIncarnation(
    table: TableService,
    eras: StoreEras,
    vmId: VmId,
    incarnation: Long,
    eventLog: EventLog,
): Nothing {
    val key = "$PREFIX${vmId.value}"
    eras.forEachEra { era ->
        val update =
            table.updateRow(key, TRANSACTION_NAME) { row ->
                incarnation.toString().takeIf { predecessorOf(row, eventLog) < incarnation }
            }
        if (update == RowUpdate.WRITTEN) eventLog.info("incarnation_written_again", "key" to key, "era" to era.value)
        update != RowUpdate.FAILED
    }
}

private fun predecessorOf(
    row: TableRow?,
    eventLog: EventLog,
): Long {
    if (row == null) return 0
    val incarnation = row.value.toLongOrNull()
    if (incarnation == null) eventLog.warn("incarnation_unreadable", "key" to row.key, "value" to row.value)
    return incarnation ?: 0
}

private const val PREFIX = "incarnation/"
private const val TRANSACTION_NAME = "incarnation"
private const val RETRY_MS = 300L
