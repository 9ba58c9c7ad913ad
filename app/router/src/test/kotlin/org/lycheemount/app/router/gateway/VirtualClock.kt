package org.lycheemount.app.router.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.lycheemount.common.Clock

/** Clock in the virtual time of this scope, whose monotonic time is [offsetMs] ahead of it. */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun TestScope.virtualClock(offsetMs: Long = 0): Clock =
    object : Clock {
        override fun monotonicMs() = currentTime + offsetMs

        override fun wallClockMs() = currentTime
    }
