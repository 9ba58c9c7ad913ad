package org.lycheemount.listener

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class HeadTimerTest {
    private val timer = HeadTimer()

    @Test
    fun `a head that stays incomplete expires, guarding against callers that never end a head`() {
        timer.start(nowMs = 0)

        val expiresAtMs = (100L..10_000L step 100).first { timer.isExpired(it, timeoutMs = 3_000) }

        assertTrue(expiresAtMs == 3_000L, "$expiresAtMs ms")
    }

    @Test
    fun `a pause of the process does not count, guarding against a refusal of a head that arrived in that time`() {
        timer.start(nowMs = 0)

        assertFalse(timer.isExpired(nowMs = 60_000, timeoutMs = 3_000))
        assertFalse(timer.isExpired(nowMs = 60_100, timeoutMs = 3_000))
    }

    @Test
    fun `a complete head does not expire`() {
        timer.start(nowMs = 0)
        timer.stop()

        assertFalse(timer.isExpired(nowMs = 60_000, timeoutMs = 0))
    }
}
