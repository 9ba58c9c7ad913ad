package org.lycheemount.origins

import org.lycheemount.common.Clock
import org.lycheemount.common.ServiceId
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot

/** Reads the table of origins into the book of [state]. Its calls must not overlap. */
internal class OriginTableReader(
    private val table: TableService,
    private val state: OriginState,
    private val obsoleteRows: ObsoleteRowRemover,
    private val eras: StoreEras,
    private val clock: Clock,
) {
    /** Reads all rows that may have changed since the last read. Returns false if the table did not respond. */
    suspend fun read(): Boolean {
        val calledAtMs = clock.monotonicMs()
        val era = eras.current.value
        val readSinceMs = state.readAtTableTimeMs?.let { it - OriginJournal.ROW_DURATION_MS - MAX_WRITE_DELAY_MS }
        val absent = state.withBook { it.serviceIds }.toMutableSet()
        var afterKey = readSinceMs?.let(OriginKeys::streams)
        while (true) {
            val page =
                when (val result = table.scan(OriginKeys.PREFIX, afterKey, PAGE_ROWS)) {
                    is TableResult.Response -> result.value
                    is TableResult.Unavailable -> return false.also { state.onCallFailed("read", result.detail) }
                    is TableResult.Unknown -> return false.also { state.onCallFailed("read", result.detail) }
                }
            state.withBook { book ->
                state.onResponse(page.tableTimeMs)
                if (era != null && era != eras.current.value) return false
                for (row in page.rows) book.onRow(row, page.tableTimeMs, calledAtMs, clock.monotonicMs())?.let(absent::remove)
                if (readSinceMs == null) obsoleteRows.onRows(page.rows, page.tableTimeMs)
            }
            if (page.isLast()) {
                onRead(absent, page.tableTimeMs, calledAtMs)
                return true
            }
            afterKey = page.rows.last().key
        }
    }

    private fun onRead(
        absentServices: Set<ServiceId>,
        tableTimeMs: Long,
        calledAtMs: Long,
    ) = state.withBook { book ->
        for (serviceId in absentServices) book.onVersionsRow(serviceId, null, tableTimeMs, calledAtMs, clock.monotonicMs())
        state.onRead(tableTimeMs)
    }

    /** A page may also end before its limit of rows, because of its size. */
    private fun TableSnapshot.isLast() = rows.size < PAGE_ROWS && rows.sumOf { it.value.length } < PAGE_CHARS

    private companion object {
        /** A row may be written for so long after it was begun and filled, if the table is slow. */
        private const val MAX_WRITE_DELAY_MS = 5_000L
        private const val PAGE_ROWS = 200
        private const val PAGE_CHARS = 300_000
    }
}
