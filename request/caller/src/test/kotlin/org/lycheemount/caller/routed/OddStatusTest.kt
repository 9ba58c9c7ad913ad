package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class OddStatusTest : RoutedFixture() {
    private fun statusOf(response: String) = response.substringAfter(' ').substringBefore(' ')

    @Nested
    inner class `a response whose status is none` {
        @Test
        fun `does not reach the caller, who learns that the outcome is unknown`() {
            for (status in listOf("000", "042", "099", "101", "600", "777", "999", "1000", "2000", "-200", "two")) {
                first.enqueue(completeResponse("odd", "$status Odd"))
                second.enqueue(completeResponse("odd", "$status Odd"))

                val response = exchange("/order/1")

                assertEquals("502", statusOf(response), "$status: $response")
                assertFalse("X-Mark" in response, "$status: $response")
                assertFalse("odd" in body(response), "$status: $response")
            }
        }

        @Test
        fun `is retried if the request may be repeated`() {
            first.enqueue(completeResponse("odd", "600 Odd"))
            second.enqueue(completeResponse("even"))
            second.enqueue(completeResponse("even"))

            val response = exchange("/read/1")

            assertTrue(response.startsWith("HTTP/1.1 200"), response)
            assertEquals("even", body(response))
        }
    }

    @Nested
    inner class `interim responses` {
        @Test
        fun `before the response do not reach the caller`() {
            first.enqueue {
                head("100 Continue")
                head("103 Early Hints", "Link: </style.css>")
                completeResponse("final")()
            }

            val response = exchange("/order/1")

            assertTrue(response.startsWith("HTTP/1.1 200"), response)
            assertEquals("final", body(response))
            assertFalse("Link" in response, response)
        }
    }
}
