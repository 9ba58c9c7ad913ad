package org.lycheemount.platform

import kotlinx.coroutines.flow.StateFlow

/**
 * Era of the platform's store. The store begins a new one whenever it comes back from an older copy of its data. What was written since
 * that copy was made is gone, and versions from then on are given out again.
 */
@JvmInline
value class StoreEra(
    val value: Long,
)

/** Tells when the platform's store has come back from an older copy. Thread-safe. */
interface StoreEras {
    /**
     * Era of the latest response of the store, to any call; null before the store has stated one. It has changed before the caller gets
     * the first response of the new era. A router may miss eras.
     */
    val current: StateFlow<StoreEra?>
}
