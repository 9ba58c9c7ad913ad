package org.lycheemount.caller

import io.ktor.client.request.bearerAuth
import io.ktor.client.request.delete
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.io.readString
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.caller.RouterFixture.Companion.expectedTokens
import org.lycheemount.testing.FakePeerNetwork
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class CancelTest {
    private val network = FakePeerNetwork(CoroutineScope(SupervisorJob() + Dispatchers.Default), latencyMs = 0)
    private val owner = RouterFixture("r1", network = { network })
    private val other = RouterFixture("r2", network = { network })
    private val engine =
        ScriptedEngine("e1") { listOf(ScriptStep.Send(0, 3), ScriptStep.AwaitCancel, ScriptStep.Finish("cancelled")) }

    @AfterEach
    fun close() = listOf(owner, other, engine).forEach { it.close() }

    @Nested
    inner class `a cancellation at a router that does not own the stream` {
        @Test
        fun `is forwarded to the owner, frees the slot, ends the stream with a finish reason and bills it once`() =
            runBlocking<Unit> {
                owner.setBackendServers(engine)

                owner.openStream().execute { response ->
                    val channel = response.bodyAsChannel()
                    val start = channel.readUTF8Line().orEmpty()

                    val cancelled = other.delete(response.headers[REQUEST_ID_HEADER].orEmpty())

                    assertEquals(200 to "ran", cancelled.status.value to cancelled.headers[OUTCOME_HEADER])
                    assertContains(cancelled.bodyAsText(), "\"generated_tokens\":3")
                    val events = start + channel.readRemaining().readString()
                    assertEquals(expectedTokens(3), deltas(events))
                    assertContains(events, "\"finish_reason\":\"cancelled\"")
                }
                assertEquals(
                    3,
                    owner.ledger.bills
                        .poll(60, TimeUnit.SECONDS)
                        ?.charge
                        ?.completionTokens,
                )
                assertEquals(emptySet(), engine.heldSlots)
            }

        @Test
        fun `is reported as unknown when the owner cannot be reached`() =
            runBlocking<Unit> {
                network.partition(listOf(owner.identity.routerId), listOf(other.identity.routerId))

                val response = other.delete("r1.1.1")

                assertEquals(503 to "unknown", response.status.value to response.headers[OUTCOME_HEADER])
            }
    }

    @Nested
    inner class `a cancellation by another team` {
        @Test
        fun `is refused with 404 and does not affect the stream`() =
            runBlocking<Unit> {
                owner.setBackendServers(engine)

                owner.openStream().execute { response ->
                    response.bodyAsChannel().readUTF8Line()
                    val refused = owner.delete(response.headers[REQUEST_ID_HEADER].orEmpty(), key = "key2")

                    assertEquals(404, refused.status.value)
                    assertEquals(emptyList(), engine.cancels)
                }
            }
    }

    @Nested
    inner class `a cancellation of a queued request` {
        @Test
        fun `gets outcome not-run, and the request is neither sent nor billed`() =
            runBlocking<Unit> {
                owner.setBackendServers(engine)
                owner.scheduler.isPaused = true

                coroutineScope {
                    val queued = async { owner.chat() }
                    awaitUntil("the request is queued") { owner.ledger.available() < 1_000_000 }

                    val cancelled = owner.delete("r1.1.1")

                    assertEquals("not-run", cancelled.headers[OUTCOME_HEADER])
                    assertEquals(499 to "not-run", queued.await().let { it.status.value to it.headers[OUTCOME_HEADER] })
                }
                assertEquals(1_000_000, owner.ledger.available())
                assertEquals(0, engine.requests.size)
            }
    }

    private suspend fun RouterFixture.delete(
        requestId: String,
        key: String = "key1",
    ): HttpResponse = client.delete(url("/v1/requests/$requestId")) { bearerAuth(key) }
}
