package org.lycheemount.membership

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.flow.filterNotNull
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras

/**
 * Runs [restore] each time the store has come back from an older copy, and repeats it until it returns true or the store has come back
 * once more.
 */
internal suspend fun StoreEras.forEachReturn(restore: suspend (StoreEra) -> Boolean): Nothing {
    var known = current.value
    current.filterNotNull().collectLatest { era ->
        val isReturn = known != null && known != era
        known = era
        while (isReturn && !restore(era)) delay(RETRY_MS)
    }
    error("a state flow does not end")
}

private const val RETRY_MS = 300L
