package org.lycheemount.origins

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.ServiceId
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction

/**
 * Keeps the rows of the versions in use as the servers that the platform lists require.
 *
 * @param reads reads of the table.
 */
internal class VersionMaintainer(
    private val table: TableService,
    private val state: OriginState,
    private val reads: SharedRead,
    private val eras: StoreEras,
    private val clock: Clock,
    private val log: EventLog,
) {
    /** Reads and writes until it is cancelled. */
    suspend fun run() {
        while (!state.isRead) if (!reads.await()) delay(state.retryDelayMs())
        while (true) {
            val nextAtMs = runSteps()
            if (nextAtMs == null) {
                state.versionChanges.receive()
            } else {
                withTimeoutOrNull(nextAtMs - clock.monotonicMs()) { state.versionChanges.receive() }
            }
        }
    }

    /** Does what is due for the versions of services. Returns the monotonic time of the next step; null if none will be due by itself. */
    private suspend fun runSteps(): Long? {
        while (true) {
            val steps = state.withBook { it.nextSteps(clock.monotonicMs()) }
            val due = steps.firstOrNull { (_, step) -> step !is VersionStep.Wait }
            if (due == null) return steps.mapNotNull { (_, step) -> (step as VersionStep.Wait).untilMs }.minOrNull()
            val (serviceId, step) = due
            val isDone = if (step is VersionStep.Write) write(serviceId, step) else readAgain()
            if (!isDone) delay(state.retryDelayMs())
        }
    }

    /** Reads the table. After a return of the store, the routers do so one after the other, so that most find what others have written. */
    private suspend fun readAgain(): Boolean {
        val spreadMs = state.fleetWriteMs()
        val restoredAtMs = state.restoredAtMs
        if (restoredAtMs != null && clock.monotonicMs() - restoredAtMs < spreadMs) delay(state.randomMs(spreadMs))
        return reads.await()
    }

    /** Writes the row of [serviceId], or takes over what another router has written. Returns false if nothing was learned. */
    private suspend fun write(
        serviceId: ServiceId,
        step: VersionStep.Write,
    ): Boolean {
        val key = OriginKeys.versions(serviceId)
        val value = encodeHistory(step.history)
        val transaction =
            TableTransaction(state.nextTransactionId(), listOf(RowCheck(key, step.expectedVersion)), listOf(RowWrite(key, value)))
        while (eras.current.value?.value == step.history.storeEra) {
            val calledAtMs = clock.monotonicMs()
            when (val result = table.commit(transaction)) {
                is TableResult.Response -> {
                    onDecided(serviceId, step, result.value, calledAtMs)
                    return true
                }
                is TableResult.Unavailable -> {
                    state.onCallFailed("versions", result.detail)
                    return false
                }
                // The transaction may take effect later, so nothing else is written before its outcome is known.
                is TableResult.Unknown -> state.onCallFailed("versions", result.detail)
            }
            delay(state.retryDelayMs())
        }
        state.noteEra()
        return true
    }

    private fun onDecided(
        serviceId: ServiceId,
        step: VersionStep.Write,
        outcome: CommitOutcome,
        calledAtMs: Long,
    ) {
        val key = OriginKeys.versions(serviceId)
        state.withBook { book ->
            val nowMs = clock.monotonicMs()
            when (outcome) {
                is CommitOutcome.Committed -> {
                    val row = TableRow(key, encodeHistory(step.history), outcome.versions[key] ?: 0)
                    state.onResponse(outcome.tableTimeMs)
                    book.onVersionsRow(serviceId, row, outcome.tableTimeMs, calledAtMs, nowMs)
                }
                is CommitOutcome.Conflict -> {
                    state.onResponse(outcome.tableTimeMs)
                    book.onVersionsRow(serviceId, outcome.current.firstOrNull { it.key == key }, outcome.tableTimeMs, calledAtMs, nowMs)
                }
            }
            state.recordIfNeeded()
        }
        logWritten(serviceId, step.history, isByAnotherRouter = outcome is CommitOutcome.Conflict)
    }

    private fun logWritten(
        serviceId: ServiceId,
        history: VersionHistory,
        isByAnotherRouter: Boolean,
    ) {
        val (open, closed) = history.uses.keys.partition(history::isOpen)
        log.info(
            "service_versions_written",
            "service" to serviceId.value,
            "open" to open.joinToString(",") { it.value },
            "closed" to closed.joinToString(",") { it.value },
            "by_another_router" to isByAnotherRouter,
        )
    }
}
