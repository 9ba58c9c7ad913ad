package org.lycheemount.app.router.gateway

import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.platform.RowListener
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreRow
import org.lycheemount.platform.adapter.CONFIGURATION_KEY

/** Activates the operator's configuration when its row changes. */
internal class ConfigurationRowListener(
    private val loader: ConfigurationLoader,
    private val clock: Clock,
    eventLog: EventLog,
) : RowListener {
    private val reachabilityLog = StoreReachabilityLog("operator", eventLog)
    private var era: StoreEra? = null
    private val startedAtMs = clock.monotonicMs()

    @Volatile
    private var confirmedAtMs: Long? = null

    /**
     * Time in milliseconds since the store last confirmed that the configuration has been read up to its newest change; before the first
     * confirmation, since the start.
     */
    val confirmedAgeMs: Long get() = clock.monotonicMs() - (confirmedAtMs ?: startedAtMs)

    override fun onEra(era: StoreEra?) {
        this.era = era
    }

    override fun onAllRows(rows: List<StoreRow>) = onChangedRows(rows)

    override fun onChangedRows(rows: List<StoreRow>) {
        val row = rows.lastOrNull { it.key == CONFIGURATION_KEY } ?: return
        val value = row.value ?: return
        loader.load(value, "store_version" to row.version, "store_era" to era?.value)
    }

    override fun onResponded() {
        confirmedAtMs = clock.monotonicMs()
        reachabilityLog.onResponded()
    }

    override fun onFailed(detail: String) = reachabilityLog.onFailed(detail)
}
