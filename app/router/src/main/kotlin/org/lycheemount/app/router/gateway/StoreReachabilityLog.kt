package org.lycheemount.app.router.gateway

import org.lycheemount.common.EventLog

/** Logs each time the store becomes unreachable or reachable again. */
internal class StoreReachabilityLog(
    private val watchedRows: String,
    private val eventLog: EventLog,
) {
    private var isReachable: Boolean? = null

    fun onResponded() {
        if (isReachable != true) eventLog.info("store_reachable", "rows" to watchedRows)
        isReachable = true
    }

    fun onFailed(detail: String) {
        if (isReachable != false) eventLog.warn("store_unreachable", "rows" to watchedRows, "detail" to detail)
        isReachable = false
    }
}
