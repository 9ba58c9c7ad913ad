package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class StatedNumbersTest : RoutedFixture() {
    @Nested
    inner class `a number of tokens` {
        @Test
        fun `is read up to the limit, guarding against ordinary requests that are refused`() {
            val stated = StatedTokens()

            assertEquals(listOf(0, 1, 501_431, 16_777_216), listOf("0", " 1 ", "501431", "16777216").map { stated.read("tokens", it) })
            assertNull(stated.violation)
        }

        @Test
        fun `beyond the limit is a violation, guarding against work for tokens that no server holds`() {
            for (text in listOf("16777217", "2000000000", "99999999999", "9".repeat(10_000), "-1", "-2000000000", "-" + "9".repeat(100))) {
                val stated = StatedTokens()

                assertNull(stated.read("tokens", text), text)
                assertEquals("tokens: numbers of tokens must be from 0 to 16777216, also in total", stated.violation, text)
            }
        }

        @Test
        fun `that is unreadable counts as not stated`() {
            val stated = StatedTokens()

            listOf(null, "", " ", "-", "many", "1.5", "1e9", "0x10", "NaN").forEach { assertNull(stated.read("tokens", it), it) }
            assertNull(stated.violation)
        }
    }

    @Nested
    inner class `a body with a stated size` {
        @Test
        fun `out of range is refused before it reaches a server, guarding against a buffer of the stated size`() {
            val sizes =
                listOf("Content-Length: 99999999999999999999", "Content-Length: 9223372036854775807", "Content-Length: -1") +
                    listOf("7FFFFFFFFFFFFFFF", "FFFFFFFFFFFFFFFF", "-1").map { "Transfer-Encoding: chunked\r\n\r\n$it" }
            for (size in sizes) {
                val response = open("/order/1", "Connection: close", size, hasBody = true).use { it.getInputStream().readAllBytes() }

                assertTrue(
                    response.decodeToString().substringAfter(' ').take(3) in setOf("400", "413"),
                    "$size: ${response.decodeToString()}",
                )
            }
            assertEquals(0, first.requests.size)
        }
    }

    @Nested
    inner class `a request with a long id` {
        @Test
        fun `is logged with the beginning of its id, guarding against a full log output of lines as long as a head`() {
            val id = "i".repeat(4_000)
            first.enqueue(completeResponse("done", id = id))

            val response = exchange("/read/1", id = id)

            assertTrue(response.startsWith("HTTP/1.1 200"), response)
            awaitLoggedOutcome()
            assertEquals(setOf<Any?>("i".repeat(200)), log.events.mapNotNullTo(HashSet()) { (_, fields) -> fields["request_id"] })
        }
    }

    @Nested
    inner class `a request of a prepaid team to a model engine` {
        @Test
        fun `is refused if it does not state its tokens, guarding against tokens that nobody pays for`() {
            for (tokens in listOf("", "X-Tokens: many,1", "X-Tokens: 1,many", "X-Tokens: 1")) {
                val response = exchange("/chat/1", tokens.ifEmpty { "X-Other: 1" }, statesTokens = false)

                assertTrue(response.startsWith("HTTP/1.1 400"), "$tokens: $response")
                assertEquals("X-Tokens: prompt tokens and maximum of output tokens are required of a prepaid team", body(response))
            }
            assertEquals(0, first.requests.size)
            assertEquals(0, ledger.bills.size)
        }
    }

    @Nested
    inner class `a request to a model engine with a number out of range` {
        @Test
        fun `is refused with the field and the range before it reaches a server, guarding against work for tokens that no server holds`() {
            val response = exchange("/chat/1", "X-Tokens: 2000000000,1")

            assertTrue(response.startsWith("HTTP/1.1 400"), response)
            assertEquals("X-Tokens: numbers of tokens must be from 0 to 16777216, also in total", body(response))
            assertEquals(0, first.requests.size)
            assertEquals(0, ledger.bills.size)
        }
    }
}
