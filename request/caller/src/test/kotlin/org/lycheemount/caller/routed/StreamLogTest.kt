package org.lycheemount.caller.routed

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

internal class StreamLogTest : RoutedFixture() {
    private val streamFields: List<Any?>
        get() {
            awaitLoggedOutcome()
            val fields = log.events.single { (name, _) -> name == "request_ended" }.second
            return listOf("framing", "events", "last_event", "resumed_at", "end").map { fields[it] }
        }

    @Nested
    inner class `the log line of a stream` {
        @Test
        fun `tells how it ended and where it was resumed`() {
            first.enqueue {
                startStream()
                event(1)
                event(2)
            }
            second.enqueue {
                head("200 OK", "Content-Type: text/event-stream", "X-Id: r")
                write("id: 3\ndata: e3\n\n")
            }

            exchange("/draft/1")

            assertEquals(listOf("connection", 3, 3L, "i-2", "complete"), streamFields)
        }

        @Test
        fun `tells that it was cut`() {
            first.enqueue {
                startStream()
                event(1)
            }

            exchange("/chat/1")

            assertEquals(listOf("chunks", 1, 1L, "", "cut"), streamFields)
        }
    }

    @Nested
    inner class `the log line of another request` {
        @Test
        fun `has no fields of a stream`() {
            first.enqueue(completeResponse("one"))

            exchange("/order/1")

            awaitLoggedOutcome()
            assertFalse("framing" in log.events.single { (name, _) -> name == "request_ended" }.second)
        }
    }
}
