package org.lycheemount.app.isolated

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/**
 * Traffic of callers that no operator controls. The numbers of connections and bytes are a fraction of those of the trial in which such
 * callers brought down a router with a heap of 200 MB; each says why it suffices. They stay as they are when the product changes.
 */
class UntrustedCallersTest {
    // 40 MB of requests are 350,000 decoded requests, several times the heap.
    @Nested
    inner class `a gateway whose callers send requests ahead` : IsolatedGatewayTest() {
        @Test
        fun `holds a bounded part of them, guarding against requests that fill the heap while no response is read (A1)`() =
            assertWithstands("A1") {
                open(CONNECTIONS) { sendRequestsAhead() }
            }

        @Test
        fun `holds a bounded part of them behind a stream, guarding against requests that wait for its end (A11)`() =
            assertWithstands("A11") {
                open(CONNECTIONS) {
                    send(requestHead("GET", "/events/"))
                    sendRequestsAhead()
                }
            }
    }

    // The refusals of 1 MB of requests on each connection exceed its socket buffers.
    @Nested
    inner class `a gateway whose callers send requests for unknown routes ahead` : IsolatedGatewayTest() {
        @Test
        fun `serves others, guarding against refusals that are not read and hold the memory of their requests`() =
            assertWithstands("unread-refusals") {
                open(CONNECTIONS) { sendUnknownRoutesAhead() }
            }
    }

    @Nested
    inner class `a gateway whose callers send bodies in one-byte chunks` : IsolatedGatewayTest() {
        // Each caller sends one and a half times the limit of bodies, so that none may stay open.
        @Test
        fun `refuses and closes those over the limit, guarding against an object for each chunk (A2)`() =
            assertWithstands("A2", IsolatedFixture(maxBodyBytes = SMALL_BODY_BYTES), mustCloseCrowd = true) {
                open(CONNECTIONS) {
                    sendOneByteChunks(SMALL_BODY_BYTES * 3 / 2)
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
                    sendHeadWithoutEnd()
                    readToEnd()
                }
            }

        @Test
        fun `closes connections with trailers without end, guarding against callers that are read for ever (A4)`() =
            assertWithstands("A4", mustCloseCrowd = true) {
                open(CONNECTIONS) {
                    sendTrailersWithoutEnd()
                    readToEnd()
                }
            }

        @Test
        fun `closes connections with empty lines before a request, guarding against callers that are read for ever (A5)`() =
            assertWithstands("A5", mustCloseCrowd = true) {
                open(FEW_CONNECTIONS) {
                    sendEmptyLines()
                    readToEnd()
                }
            }

        @Test
        fun `closes connections with a request line without end, guarding against callers that are read for ever (A6)`() =
            assertWithstands("A6", mustCloseCrowd = true) {
                open(CONNECTIONS / 2) {
                    sendRequestLineWithoutEnd()
                    readToEnd()
                }
            }

        // Half of the heads are above the limit of the configuration only, half are above that of the decoder too.
        @Test
        fun `closes connections with heads that exceed the limit, guarding against a limit that is not applied (A13)`() =
            assertWithstands("A13", mustCloseCrowd = true) {
                open(CONNECTIONS) { number ->
                    sendLargeHeads(if (number % 2 == 0) 3 * IsolatedFixture.MAX_HEADER_BYTES else 6 * IsolatedFixture.MAX_HEADER_BYTES)
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
                    sendBodyWithoutEnd()
                    readToEnd()
                }
            }

        // All bodies together are 157 MB, on one and a quarter times the connections of the other forms with large bodies.
        @Test
        fun `holds a bounded part of many bodies that arrive at once, guarding against a heap full of them (A8)`() =
            assertWithstands("A8") {
                open(CONNECTIONS) { sendBody(LARGE_BODY_BYTES) }
            }

        @Test
        fun `holds a bounded part of complete bodies below the limit, guarding against a heap full of them`() =
            assertWithstands("complete-large-bodies") {
                startCallers(LARGE_BODIES) { open ->
                    repeat(BODIES_EACH) { open().run { sendBody(LARGE_BODY_BYTES) } }
                }
            }
    }

    @Nested
    inner class `a gateway whose callers open connections and send nothing` : IsolatedGatewayTest() {
        // Above the descriptors of the gateway, of which the 200 for files and half of the rest may be used.
        @Test
        fun `keeps descriptors for ordinary callers, guarding against connections that use them up (A9)`() =
            assertWithstands("A9", IsolatedFixture(maxDescriptors = FEW_DESCRIPTORS), RESERVED_DESCRIPTORS + FEW_DESCRIPTORS / 4) {
                startCallers(1) { open -> repeat(FEW_DESCRIPTORS + FEW_DESCRIPTORS / 4) { open().run { } } }
            }
    }

    @Nested
    inner class `a gateway whose callers read slowly` : IsolatedGatewayTest() {
        // The servers send as fast as they can.
        @Test
        fun `holds a bounded part of their streams, guarding against events that wait for their callers (A10)`() =
            assertWithstands("A10") {
                open(CONNECTIONS) {
                    send(requestHead("GET", "/flood/"))
                    readSlowly()
                }
            }
    }

    // 16,000,000 tokens are 250,000 blocks of a prompt; a router that hashes each block needs 5 MB for the smallest such request.
    @Nested
    inner class `a gateway whose callers state large numbers` : IsolatedGatewayTest() {
        @Test
        fun `does work in proportion to what they send, guarding against a request that ends the process by its stated tokens`() =
            assertWithstands("stated-numbers") {
                open(CONNECTIONS) { sendStatedNumbers(it) }
            }

        @Test
        fun `does so too if the service is a model engine, guarding against a request that ends the process by its stated tokens`() =
            assertWithstands("stated-numbers-to-models", IsolatedFixture(hasModelEngines = true)) {
                open(CONNECTIONS) { sendStatedNumbers(it) }
            }
    }

    @Nested
    inner class `a gateway with ordinary callers among others` : IsolatedGatewayTest() {
        // Requests sent ahead and bodies exceed the heap together, neither alone.
        @Test
        fun `withstands the others, guarding against bounds that hold for each form alone (A12)`() =
            assertWithstands("A12") {
                open(FEW_CONNECTIONS) { sendOrdinaryRequests(ORDINARY_REQUESTS) }
                open(MIXED_CONNECTIONS) { sendRequestsAhead() }
                open(MIXED_CONNECTIONS) { sendBodyWithoutEnd() }
                open(FEW_CONNECTIONS) { sendHeadWithoutEnd() }
            }
    }

    @Nested
    inner class `a gateway whose servers send events without end` : IsolatedGatewayTest() {
        // A server sends 1,000,000 bytes of an event, for which the router holds a buffer of 1 MiB: 60 MiB for all.
        @Test
        fun `holds a bounded part of them, guarding against a heap full of events that have no end`() =
            assertWithstands("events-without-end") {
                open(STREAMS) {
                    send(requestHead("GET", "/unending-event/"))
                    readToEnd()
                }
            }
    }

    private companion object {
        private const val CONNECTIONS = 40
        private const val FEW_CONNECTIONS = 8
        private const val MIXED_CONNECTIONS = 12
        private const val STREAMS = 60
        private const val LARGE_BODIES = 32
        private const val BODIES_EACH = 3
        private const val SMALL_BODY_BYTES = 65_536
        private const val ORDINARY_REQUESTS = 100
        private const val FEW_DESCRIPTORS = 400
        private const val RESERVED_DESCRIPTORS = 200
    }
}
