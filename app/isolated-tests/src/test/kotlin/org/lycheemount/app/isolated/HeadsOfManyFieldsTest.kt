package org.lycheemount.app.isolated

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Heads inside the limits in bytes that cost a multiple of their size in the heap. */
class HeadsOfManyFieldsTest {
    @Nested
    inner class `a gateway whose callers send heads of very short fields` : IsolatedGatewayTest() {
        // A head of 4,000 fields costs about 300 KB of objects, so that 200 of them are the heap.
        @Test
        fun `bounds the fields of a head, guarding against objects that the limit in bytes does not count`() =
            assertWithstands("short-fields") {
                open(CONNECTIONS) {
                    sendShortFields(HEAD_BYTES)
                    readToEnd()
                }
            }

        // Each head is incomplete for the timeout of heads at most.
        @Test
        fun `bounds the fields of heads that do not end, guarding against fields that are decoded before the head is complete`() =
            assertWithstands("short-fields-without-end", mustCloseCrowd = true) {
                open(CONNECTIONS) {
                    sendShortFieldsWithoutEnd(HEAD_BYTES)
                    readToEnd()
                }
            }
    }

    @Nested
    inner class `a gateway whose callers send heads just inside the limits` : IsolatedGatewayTest() {
        // 700 heads of 31 KB are 22 MB on the wire, and several times as much as objects.
        @Test
        fun `holds a bounded part of them together, guarding against heads that no budget counts`() =
            assertWithstands("large-heads", IsolatedFixture(), MANY_DESCRIPTORS) {
                open(MANY_CONNECTIONS) {
                    sendLargeFields(LINE_BYTES, HEAD_BYTES)
                    readToEnd()
                }
            }
    }

    private companion object {
        private const val CONNECTIONS = 200
        private const val HEAD_BYTES = 15_500
        private const val LINE_BYTES = 15_500
        private const val MANY_CONNECTIONS = 700

        // The 200 that a VM reserves for files, and one for each caller.
        private const val MANY_DESCRIPTORS = 900
    }
}
