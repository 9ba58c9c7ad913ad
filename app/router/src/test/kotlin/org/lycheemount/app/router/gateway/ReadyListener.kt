package org.lycheemount.app.router.gateway

import org.lycheemount.platform.RowListener
import org.lycheemount.platform.StoreRow

/** Calls [onRead] after each read of the rows. */
internal class ReadyListener(
    private val onRead: () -> Unit,
) : RowListener {
    override fun onAllRows(rows: List<StoreRow>) = Unit

    override fun onChangedRows(rows: List<StoreRow>) = Unit

    override fun onResponded() = onRead()

    override fun onFailed(detail: String) = Unit
}
