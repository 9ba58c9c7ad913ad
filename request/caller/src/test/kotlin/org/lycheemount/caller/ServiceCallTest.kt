package org.lycheemount.caller

import io.ktor.client.request.bearerAuth
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

class ServiceCallTest {
    private val router = RouterFixture()
    private val first = ScriptedEngine("e1") { emptyList() }
    private val second = ScriptedEngine("e2") { emptyList() }

    @AfterEach
    fun close() = listOf(router, first, second).forEach { it.close() }

    @Nested
    inner class `a call whose response is lost` {
        @Test
        fun `is not retried when it is not idempotent, and is charged as unknown`() =
            runBlocking<Unit> {
                router.setBackendServers(first, second)
                first.serviceResponse = null

                val response = call("POST", "/orders")

                assertEquals(502 to "unknown", response.status.value to response.headers[OUTCOME_HEADER])
                assertEquals(1 to 0, first.serviceCalls.size to second.serviceCalls.size)
                assertEquals(7L to false, bill().let { it.totalTokens to it.outcomeKnown })
            }

        @Test
        fun `is retried on another server when it is idempotent, and billed once`() =
            runBlocking<Unit> {
                router.setBackendServers(first, second)
                first.serviceResponse = null

                val response = call("GET", "/records/1")

                assertEquals(200 to "ran", response.status.value to response.headers[OUTCOME_HEADER])
                assertEquals(1 to 1, first.serviceCalls.size to second.serviceCalls.size)
                assertEquals(7L, bill().totalTokens)
                assertEquals(0, router.ledger.bills.size)
            }

        @Test
        fun `with an idempotency key is reported as unknown to every retry and does not run again`() =
            runBlocking<Unit> {
                router.setBackendServers(first, second)
                first.serviceResponse = null

                val responses = List(2) { call("POST", "/orders", key = "order-1") }

                assertEquals(listOf("unknown", "unknown"), responses.map { it.headers[OUTCOME_HEADER] })
                assertEquals(1 to 0, first.serviceCalls.size to second.serviceCalls.size)
            }
    }

    @Nested
    inner class `a response above the limit` {
        @Test
        fun `is not read to its end, guarding against responses without end that fill the heap`() =
            runBlocking<Unit> {
                router.setBackendServers(first)
                first.serviceResponse = "x".repeat(20_000_000)

                val response = call("GET", "/records/1")

                assertEquals(502 to "unknown", response.status.value to response.headers[OUTCOME_HEADER])
                assertEquals(7L to false, bill().let { it.totalTokens to it.outcomeKnown })
                assertEquals(1, first.serviceCalls.size)
            }
    }

    @Nested
    inner class `a call that has certainly not run` {
        @Test
        fun `is retried on another server even if it is not idempotent`() =
            runBlocking<Unit> {
                router.setBackendServers(first, second)
                first.close()

                val response = call("POST", "/orders")

                assertEquals(200, response.status.value)
                assertEquals(listOf("POST /orders body"), second.serviceCalls.toList())
            }
    }

    @Nested
    inner class `concurrent calls with one idempotency key` {
        @Test
        fun `run once, and all callers receive the same response`() =
            runBlocking<Unit> {
                router.setBackendServers(first)

                val bodies = coroutineScope { List(8) { async { call("POST", "/orders", key = "order-2").bodyAsText() } }.awaitAll() }

                assertEquals(List(8) { "done" }, bodies)
                assertEquals(1, first.serviceCalls.size)
                assertEquals(7L, bill().totalTokens)
                assertEquals(0, router.ledger.bills.size)
            }
    }

    @Nested
    inner class `a leaving server` {
        @Test
        fun `receives no new calls`() =
            runBlocking<Unit> {
                router.dispatcher.onBackendServers(listOf(first.describe().copy(leaving = true), second.describe()))

                repeat(5) { call("GET", "/records/$it") }

                assertEquals(0 to 5, first.serviceCalls.size to second.serviceCalls.size)
            }
    }

    private suspend fun call(
        method: String,
        path: String,
        key: String? = null,
    ): HttpResponse =
        router.client.request(router.url("/services/s1$path")) {
            this.method = HttpMethod(method)
            bearerAuth("key1")
            key?.let { header("idempotency-key", it) }
            if (method == "POST") setBody("body")
        }

    private fun bill() = checkNotNull(router.ledger.bills.poll(60, TimeUnit.SECONDS)) { "no bill was recorded" }.charge
}
