package org.lycheemount.app.router.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.platform.RowFeed
import org.lycheemount.platform.RowListener
import org.lycheemount.platform.StoreRow

/** The operator's table of the store, in virtual time. */
internal class OperatorRows {
    private val version = MutableStateFlow(100L)
    private val rows = LinkedHashMap<String, StoreRow>()
    private var compactedUpTo = 0L

    /** Writes a row, or removes it if [value] is null. */
    fun put(
        key: String,
        value: String?,
    ) {
        rows[key] = StoreRow(key, value?.encodeToByteArray(), version.value + 1)
        version.value++
    }

    /** Drops the history, so that removed rows are known only by their absence. */
    fun compactHistory() {
        rows.values.removeIf { it.value == null }
        version.value++
        compactedUpTo = version.value
    }

    /**
     * Follows the rows as one router does, by calls that wait for changes.
     *
     * @param latencyMs time of a response on its way.
     * @param isReachable whether responses of the store arrive.
     */
    inner class Feed(
        private val latencyMs: Long,
        private val isReachable: () -> Boolean,
    ) : RowFeed {
        private var since: Long? = null

        override var lastResponseTableTimeMs: Long? = null
            private set

        override suspend fun poll(listener: RowListener): Boolean {
            val known = since
            if (known != null) withTimeoutOrNull(LONG_POLL_MS) { version.first { it > known } }
            val readVersion = version.value
            val read = rows.values.toList()
            delay(latencyMs)
            if (!isReachable()) {
                delay(CALL_TIMEOUT_MS)
                listener.onFailed("no response")
                return false
            }
            if (known == null || known < compactedUpTo) {
                listener.onAllRows(read.filter { it.value != null })
            } else {
                read.filter { it.version > known }.takeIf { it.isNotEmpty() }?.let(listener::onChangedRows)
            }
            listener.onCurrent(readVersion)
            since = readVersion
            listener.onResponded()
            return true
        }
    }

    private companion object {
        private const val LONG_POLL_MS = 1_500L
        private const val CALL_TIMEOUT_MS = 500L
    }
}
