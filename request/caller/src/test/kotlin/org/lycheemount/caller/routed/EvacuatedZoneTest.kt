package org.lycheemount.caller.routed

import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.lycheemount.common.ZoneId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class EvacuatedZoneTest : RoutedFixture() {
    private val zoneOfFirst = ZoneId("z1")
    private val zoneOfSecond = ZoneId("z2")

    @BeforeEach
    fun listServersOfTwoZones() = statements.onBackendServers(listOf(first.describe(), second.describe().copy(zoneId = zoneOfSecond)))

    @Nested
    inner class `a zone that is evacuated gets no request, guarding against requests on their way into it` {
        @Test
        fun `that has been assigned to a server of the zone and is not sent yet`() {
            quarantine.whileAskedToSend = { dispatcher.onEvacuatedZones(setOf(zoneOfFirst)) }
            second.enqueue(completeResponse("other zone"))

            assertEquals("other zone", body(exchange("/chat/1", "X-Segments: 1,99,7")))
            assertEquals(0, first.requests.size)
        }

        @Test
        fun `that is retried`() {
            first.enqueue {
                dispatcher.onEvacuatedZones(setOf(zoneOfSecond))
                head("503 Service Unavailable", "Content-Length: 4", "X-Id: r", "X-Not-Run: 1").also { write("busy") }
            }

            assertTrue(exchange("/read/1").startsWith("HTTP/1.1 503"))
            assertEquals(0, second.requests.size)
        }

        @Test
        fun `that resumes a stream whose server has failed`() {
            first.enqueue {
                dispatcher.onEvacuatedZones(setOf(zoneOfSecond))
                head("200 OK", "Content-Type: text/event-stream", "Content-Length: 1000", "X-Id: r")
                write("id: 1\ndata: a\n\n")
            }

            exchange("/draft/1")
            assertEquals(1, first.requests.size)
            assertEquals(0, second.requests.size)
        }
    }

    @Nested
    inner class `work in an evacuated zone` {
        @Test
        fun `continues to its end`() {
            first.enqueue {
                head("200 OK", "Content-Length: 4", "X-Id: r")
                dispatcher.onEvacuatedZones(setOf(zoneOfFirst))
                write("done")
            }

            assertEquals("done", body(exchange("/order/1")))
        }
    }
}
