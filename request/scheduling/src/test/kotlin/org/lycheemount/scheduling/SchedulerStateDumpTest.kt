package org.lycheemount.scheduling

import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Nested
import org.lycheemount.common.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals

class SchedulerStateDumpTest {
    @Nested
    inner class `a request that completes, fails or is cancelled` {
        @Test
        fun `frees its slot, guarding against slots that leak`() {
            val scheduler = scheduler(listOf(server(0), server(1)))
            repeat(40) { scheduler.submit(item("r$it", workClass = delayTolerantClass), 0) }
            scheduler.poll(0)

            for (index in 0 until 40) {
                val id = RequestId("r$index")
                when (index % 3) {
                    0 -> scheduler.onServiceEvent(id, ServiceEvent.Completed(10), 5)
                    1 -> scheduler.onServiceEvent(id, ServiceEvent.Failed(FailureKind.BROKEN_STREAM), 5)
                    else -> scheduler.cancel(id, 5)
                }
                scheduler.cancel(id, 6)
            }

            val state = scheduler.describe(10)
            assertEquals(0, state.getValue("startedRequests").jsonPrimitive.int)
            assertEquals(
                listOf(0),
                state.getValue("queues").jsonArray.map {
                    it.jsonObject
                        .getValue("queuedRequests")
                        .jsonPrimitive.int
                },
            )
            assertEquals(
                listOf(0, 0),
                state.getValue("backendServers").jsonArray.map {
                    it.jsonObject
                        .getValue("ownRequests")
                        .jsonPrimitive.int
                },
            )
        }
    }
}
