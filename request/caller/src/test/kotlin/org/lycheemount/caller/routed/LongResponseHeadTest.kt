package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class LongResponseHeadTest : RoutedFixture() {
    @Nested
    inner class `a response that repeats a long id of the request` {
        @Test
        fun `is relayed, guarding against callers that get an error for a request that was served`() {
            for (path in listOf("/order/1", "/read/1")) {
                for (length in listOf(4_000, 10_000, 15_000)) {
                    val id = "i".repeat(length)
                    first.enqueue(completeResponse("done", id = id))
                    second.enqueue(completeResponse("done", id = id))

                    val response = exchange(path, id = id)

                    assertTrue(response.startsWith("HTTP/1.1 200"), "$path, $length: ${response.take(100)}")
                    assertEquals("done", body(response))
                }
            }
        }
    }
}
