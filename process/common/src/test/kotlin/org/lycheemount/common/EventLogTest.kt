package org.lycheemount.common

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class EventLogTest {
    @Nested
    inner class `a field value from an untrusted source` {
        @Test
        fun `cannot inject a second event line`() {
            val line = formatEventLine("request_refused", arrayOf("path" to "/x\nevent=forged", "attempts" to 2))

            assertEquals("event=request_refused path=\"/x\\nevent=forged\" attempts=2", line)
        }
    }
}
