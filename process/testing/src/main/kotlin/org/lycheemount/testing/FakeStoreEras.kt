package org.lycheemount.testing

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras

/** Eras of a store as one router has noticed them. */
class FakeStoreEras : StoreEras {
    private val latest = MutableStateFlow<StoreEra?>(null)

    override val current: StateFlow<StoreEra?> = latest.asStateFlow()

    /** A response of the store has stated [era]. */
    fun notice(era: StoreEra?) {
        latest.value = era
    }
}
