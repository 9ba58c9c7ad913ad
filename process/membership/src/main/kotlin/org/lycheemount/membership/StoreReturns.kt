package org.lycheemount.membership

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.flow.filterNotNull
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras

/**
 * Runs [restore] in the first era that the store states and each time it has come back from an older copy, and repeats it until it returns
 * true or the store has come back once more. A row that was written before this call may be missing in the first era already.
 */
internal suspend fun StoreEras.forEachEra(restore: suspend (StoreEra) -> Boolean): Nothing {
    current.filterNotNull().collectLatest { era ->
        while (!restore(era)) delay(RETRY_MS)
    }
    error("a state flow does not end")
}

private const val RETRY_MS = 300L
