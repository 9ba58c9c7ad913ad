package org.lycheemount.app.isolated

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/**
 * Traffic of callers that no operator controls. The numbers of connections and bytes are a fraction of those of the trial in which such
 * callers brought down a router with a heap of 200 MB; each says why it suffices. They stay as they are when the product changes.
 */
class UntrustedCallersTest {
    @Nested
    inner class `a gateway whose callers send requests ahead` : IsolatedGatewayTest() {
        // 40 MB of requests are 350,000 decoded requests, several times the heap.
        @Test
        fun `holds a bounded part of them, guarding against requests that fill the heap while no response is read (A1)`() =
            assertWithstands("A1") {
                open(CONNECTIONS) { number ->
                    repeat(MB_EACH * PARTS_PER_MB) { part ->
                        send(pipelinedRequests { "Authorization: Bearer key-$number-$part-$it" })
                    }
                }
            }
    }

    @Nested
    inner class `a gateway whose callers send bodies in one-byte chunks` : IsolatedGatewayTest() {
        // Each caller sends one and a half times the limit of bodies, so that none may stay open.
        @Test
        fun `refuses and closes those over the limit, guarding against an object for each chunk (A2)`() =
            assertWithstands("A2", IsolatedFixture(maxBodyBytes = SMALL_BODY_BYTES), mustCloseCrowd = true) {
                open(CONNECTIONS) {
                    send(requestHead("POST", "/working/", "Transfer-Encoding: chunked"))
                    repeat(SMALL_BODY_BYTES / ONE_BYTE_CHUNKS * 3 / 2) { send(ONE_BYTE_CHUNK.repeat(ONE_BYTE_CHUNKS)) }
                    readToEnd()
                }
            }
    }

    // Each caller sends 30 times what the limits allow for a head and the request line, so that none may stay open.
    @Nested
    inner class `a gateway whose callers send bytes that do not end a message` : IsolatedGatewayTest() {
        @Test
        fun `closes connections with a head without end, guarding against callers that are read for ever (A3)`() =
            assertWithstands("A3", mustCloseCrowd = true) {
                open(CONNECTIONS) {
                    send("GET /plain/ HTTP/1.1\r\nHost: h\r\n")
                    repeat(MB_EACH * PARTS_PER_MB * LINES_PER_PART) { send("X-Line-$it: ${"v".repeat(LINE_BYTES)}\r\n") }
                    readToEnd()
                }
            }

        @Test
        fun `closes connections with empty lines before a request, guarding against callers that are read for ever (A5)`() =
            assertWithstands("A5", mustCloseCrowd = true) {
                open(FEW_CONNECTIONS) {
                    repeat(MB_EACH * PARTS_PER_MB) { send("\r\n".repeat(PART_BYTES / 2)) }
                    readToEnd()
                }
            }
    }

    // A heap of 64 MB holds 15 bodies of 4 MB and nothing else.
    @Nested
    inner class `a gateway whose callers send large bodies` : IsolatedGatewayTest() {
        @Test
        fun `holds a bounded part of bodies that stop short of their end, guarding against a heap full of them (A7)`() =
            assertWithstands("A7") {
                open(LARGE_BODIES) {
                    send(requestHead("POST", "/working/", "Transfer-Encoding: chunked"))
                    repeat(LARGE_BODY_BYTES / PART_BYTES) { send(LARGE_CHUNK) }
                    readToEnd()
                }
            }

        @Test
        fun `holds a bounded part of complete bodies below the limit, guarding against a heap full of them`() =
            assertWithstands("complete-large-bodies") {
                startCallers(LARGE_BODIES) { open ->
                    repeat(BODIES_EACH) { open().run { sendLargeBody() } }
                }
            }

        private fun CrowdConnection.sendLargeBody() {
            send(requestHead("POST", "/working/", "Content-Length: $LARGE_BODY_BYTES"))
            send(ByteArray(LARGE_BODY_BYTES))
            readResponse()
        }
    }

    /** Requests of [PART_BYTES] in all or slightly more, the n-th of them with the header that [header] returns for n. */
    private fun pipelinedRequests(header: (Int) -> String): String =
        buildString {
            var count = 0
            while (length < PART_BYTES) append(requestHead("POST", "/plain/", header(count++), "Content-Length: 0"))
        }

    private companion object {
        private const val CONNECTIONS = 40
        private const val FEW_CONNECTIONS = 8
        private const val MB_EACH = 1
        private const val PART_BYTES = 65_536
        private const val PARTS_PER_MB = 16
        private const val LINE_BYTES = 4_096
        private const val LINES_PER_PART = 16
        private const val LARGE_BODIES = 32
        private const val LARGE_BODY_BYTES = 4_128_768
        private const val BODIES_EACH = 3
        private const val SMALL_BODY_BYTES = 65_536
        private const val ONE_BYTE_CHUNK = "1\r\nb\r\n"
        private const val ONE_BYTE_CHUNKS = 1_024
        private val LARGE_CHUNK = "10000\r\n${"b".repeat(PART_BYTES)}\r\n".encodeToByteArray()
    }
}
