package org.lycheemount.testing

import kotlinx.coroutines.delay
import org.lycheemount.platform.RowFeed
import org.lycheemount.platform.RowListener
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreRow
import org.lycheemount.platform.TableRow

/**
 * Long-polling feed of the rows of [table].
 *
 * @param latencyMs time that a response takes.
 */
class FakeRowFeed(
    private val table: FakeTableService,
    private val tableTimeMs: () -> Long,
    private val latencyMs: Long = 4,
) : RowFeed {
    private var known: Map<String, TableRow>? = null
    private var knownChangeCount = 0
    private var knownEra: StoreEra? = null

    override var lastResponseTableTimeMs: Long? = null
        private set

    override suspend fun poll(listener: RowListener): Boolean {
        repeat(POLLS_PER_CALL) {
            delay(latencyMs)
            if (!table.isAvailable) {
                listener.onFailed("table is down")
                return false
            }
            if (deliverChanges(listener)) return true
        }
        return true
    }

    private fun deliverChanges(listener: RowListener): Boolean {
        val before = known.takeIf { table.era == knownEra }
        knownEra = table.era
        lastResponseTableTimeMs = tableTimeMs()
        if (before != null && table.changeCount == knownChangeCount) return false
        knownChangeCount = table.changeCount
        val current = table.copyRows().associateBy { it.key }
        val changed =
            current.values
                .filter {
                    before?.get(it.key)?.version != it.version
                }.map { StoreRow(it.key, it.value.encodeToByteArray(), it.version) }
        val removed =
            before
                .orEmpty()
                .keys
                .minus(current.keys)
                .map { StoreRow(it, null, 0) }
        known = current
        when {
            before == null -> {
                listener.onEra(knownEra)
                listener.onAllRows(changed)
            }
            changed.isNotEmpty() || removed.isNotEmpty() -> listener.onChangedRows(changed + removed)
            else -> return false
        }
        listener.onResponded()
        return true
    }

    private companion object {
        private const val POLLS_PER_CALL = 100
    }
}
