package org.lycheemount.standin

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.BackendHttp
import org.lycheemount.backend.DefaultPlainServiceClient
import org.lycheemount.backend.ServiceCall
import org.lycheemount.backend.ServiceCallOutcome
import org.lycheemount.common.RequestId
import org.lycheemount.common.ServiceId
import org.lycheemount.testing.LISTENER_HOST
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ServiceStandInTest {
    private val records = ServiceRecords()
    private val service = startServiceStandIn(ServiceStandInSettings(host = LISTENER_HOST, serviceId = ServiceId("ledger")), records)
    private val http = BackendHttp()
    private val client = DefaultPlainServiceClient(http)

    @AfterEach
    fun close() {
        http.close()
        service.close()
    }

    private fun order(
        requestId: String,
        businessKey: String = "refill-1",
        timeoutMs: Long = 5_000,
        serviceClient: DefaultPlainServiceClient = client,
    ) = runBlocking {
        val headers = listOf("Content-Type" to "application/json", "Host" to "elsewhere", "x-team" to "t")
        val body = """{"businessKey":"$businessKey"}""".encodeToByteArray()
        serviceClient.call(service.describe(), ServiceCall(RequestId(requestId), "POST", "/orders?urgent=1", headers, body, timeoutMs))
    }

    private fun failureOf(outcome: ServiceCallOutcome) = assertIs<ServiceCallOutcome.Failed>(outcome).failure

    @Nested
    inner class `an order` {
        @Test
        fun `is counted by request id and business key`() {
            val response = assertIs<ServiceCallOutcome.Response>(order("a"))
            order("b")

            assertTrue(response.body.decodeToString().contains("\"path\":\"/orders\""))
            assertEquals(mapOf("a" to 1, "b" to 1), service.counters().byRequestId)
            assertEquals(mapOf("refill-1" to 2), service.counters().byBusinessKey)
        }

        @Test
        fun `whose response is lost is reported as possibly executed`() {
            service.changeFaults { copy(dropNextResponses = 20) }

            // Repeated, because it depends on timing whether the server leaves the connection open after an aborted response.
            val failures = (1..20).map { failureOf(order("a$it")) }

            assertEquals(setOf(AttemptFailure.BROKEN_CONNECTION), failures.toSet())
            assertEquals(20, service.counters().byRequestId.size)
            assertEquals(20, service.counters().executions)
        }

        @Test
        fun `refused by a leaving, full or stopped server is not executed`() {
            service.changeFaults { copy(leaving = true) }
            val leaving = failureOf(order("a"))
            service.changeFaults { copy(leaving = false, busy = true) }
            val busy = failureOf(order("a"))
            service.crash()
            // A pooled connection may be reset rather than refused, so the stopped server is called on a new connection.
            val stopped = BackendHttp().use { failureOf(order("a", serviceClient = DefaultPlainServiceClient(it))) }

            assertEquals(
                listOf(AttemptFailure.REFUSED_LEAVING, AttemptFailure.REFUSED_BUSY, AttemptFailure.CONNECT_FAILED),
                listOf(leaving, busy, stopped),
            )
            assertTrue(listOf(leaving, busy, stopped).all { it.hadNoEffect })
            assertEquals(0, service.counters().executions)
        }

        @Test
        fun `to a hanging server is executed once and times out`() {
            service.changeFaults { copy(hanging = true) }

            assertEquals(AttemptFailure.TIMED_OUT, failureOf(order("a", timeoutMs = 300)))
            assertEquals(1, service.counters().executions)
        }
    }

    @Nested
    inner class `the faults endpoint` {
        @Test
        fun `changes the given faults and rejects unknown fields`() =
            runBlocking {
                HttpClient(CIO).use { admin ->
                    val url = "http://$LISTENER_HOST:${service.port}/faults"
                    val changed = admin.post(url) { setBody("""{"delayMs":7}""") }.bodyAsText()
                    val rejected = admin.post(url) { setBody("""{"delay":7}""") }.status.value

                    assertTrue(changed.contains("\"delayMs\":7"))
                    assertEquals(400, rejected)
                    assertEquals(7, service.faults.delayMs)
                }
            }
    }
}
