package org.lycheemount.budget

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras

/** Eras of a table that never comes back from a copy. */
internal object UnstatedEras : StoreEras {
    override val current: StateFlow<StoreEra?> = MutableStateFlow(null)
}
