package org.lycheemount.app.router.gateway

import org.lycheemount.platform.RowListener
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreRow

/** Passes rows and the state of the store to several [listeners] in their order. */
internal class CombinedRowListener(
    private vararg val listeners: RowListener,
) : RowListener {
    override fun onEra(era: StoreEra?) = listeners.forEach { it.onEra(era) }

    override fun onAllRows(rows: List<StoreRow>) = listeners.forEach { it.onAllRows(rows) }

    override fun onChangedRows(rows: List<StoreRow>) = listeners.forEach { it.onChangedRows(rows) }

    override fun onCurrent(version: Long) = listeners.forEach { it.onCurrent(version) }

    override fun onResponded() = listeners.forEach { it.onResponded() }

    override fun onFailed(detail: String) = listeners.forEach { it.onFailed(detail) }

    override val nextCallWithinMs: Long? get() = listeners.mapNotNull { it.nextCallWithinMs }.minOrNull()
}
