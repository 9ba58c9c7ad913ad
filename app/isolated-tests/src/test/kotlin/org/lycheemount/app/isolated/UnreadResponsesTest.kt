package org.lycheemount.app.isolated

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Callers that read nothing of what servers respond. */
class UnreadResponsesTest {
    @Nested
    inner class `a gateway whose callers read nothing` : IsolatedGatewayTest() {
        // The router held 3.5 MB for each such request, so that 40 of them are twice the heap.
        @Test
        fun `stops reading from servers whose failures have no end, guarding against bodies that fill the heap between two connections`() =
            assertWithstands("unread-failures-without-end") {
                open(UNENDING_RESPONSES) { send(requestHead("GET", "/unending-failure/")) }
            }

        // 200 responses of 250,000 bytes are 50 MB, and each is below the size up to which a response is buffered.
        @Test
        fun `holds a bounded part of complete responses, guarding against responses that leave the budget before they are sent`() =
            assertWithstands("unread-large-responses", IsolatedFixture(), MANY_DESCRIPTORS) {
                open(LARGE_RESPONSES) { send(requestHead("GET", "/large/")) }
            }
    }

    private companion object {
        private const val UNENDING_RESPONSES = 40
        private const val LARGE_RESPONSES = 200

        // The 200 that a VM reserves for files, and for each caller one to it and one to a server.
        private const val MANY_DESCRIPTORS = 600
    }
}
