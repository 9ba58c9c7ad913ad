package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onFailure
import org.lycheemount.common.EventLog
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.RowListener
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreRow
import org.lycheemount.platform.adapter.checkEvacuationValue
import org.lycheemount.platform.adapter.decodeEvacuationKey
import org.lycheemount.platform.adapter.isEvacuationKey

/** Follows the operator's rows by which zones are evacuated. */
internal class ZoneEvacuationRowListener(
    private val evacuations: ZoneEvacuationState,
    private val eventLog: EventLog,
) : RowListener {
    /** Era of the store in which the whole table was last read, to which later changes belong. */
    private var era: Long? = null

    /** Zones of all rows, between the read of the whole table and the version that it has; null otherwise. */
    private var listed: Set<ZoneId>? = null

    /** Keys of rows that have been logged as invalid. */
    private val invalidKeys = HashSet<String>()

    override fun onEra(era: StoreEra?) {
        this.era = era?.value
    }

    override fun onAllRows(rows: List<StoreRow>) {
        invalidKeys.retainAll(rows.mapTo(HashSet()) { it.key })
        listed = rows.filter { it.value != null }.mapNotNullTo(HashSet()) { zoneOf(it) }
        onChangedRows(rows)
    }

    override fun onChangedRows(rows: List<StoreRow>) {
        for (row in rows) {
            val zoneId = zoneOf(row) ?: continue
            row.value?.let { checkValue(row.key, it) } ?: invalidKeys.remove(row.key)
            evacuations.onRow(zoneId, isEvacuated = row.value != null, row.version, era)
        }
    }

    override fun onCurrent(version: Long) {
        evacuations.onCurrent(version, listed, era)
        listed = null
    }

    /** The listener of the configuration, which follows the same rows, logs the state of the store. */
    override fun onResponded() = Unit

    override fun onFailed(detail: String) = Unit

    private fun zoneOf(row: StoreRow): ZoneId? {
        if (!isEvacuationKey(row.key)) return null
        return decodeEvacuationKey(row.key).fold(
            { it },
            {
                if (row.value == null) {
                    invalidKeys.remove(row.key)
                } else if (invalidKeys.add(row.key)) {
                    eventLog.warn("evacuation_key_invalid", "key" to row.key.take(MAX_LOGGED_CHARS), "error" to it)
                }
                null
            },
        )
    }

    /** The zone in the key counts, whatever the value. */
    private fun checkValue(
        key: String,
        value: ByteArray,
    ) {
        checkEvacuationValue(value).onFailure {
            if (invalidKeys.add(key)) eventLog.warn("evacuation_unreadable", "key" to key, "error" to it.take(MAX_LOGGED_CHARS))
        }
    }

    private companion object {
        private const val MAX_LOGGED_CHARS = 160
    }
}
