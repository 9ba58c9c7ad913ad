package org.lycheemount.budget

import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.junit.jupiter.api.Nested
import org.lycheemount.common.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Replays recorded traces of earlier incidents. Each line is a step; its field `expect` is the expected outcome. */
class RecordedTraceTest {
    private fun replay(name: String) =
        fleetTest { fleet ->
            val lines = checkNotNull(javaClass.getResource("/traces/$name.jsonl")).readText().lines().filter { it.isNotBlank() }
            for ((number, line) in lines.withIndex()) {
                Step(
                    fleet,
                    Json.parseToJsonElement(line).jsonObject,
                    "$name line ${number + 1}",
                ).run()
            }
        }

    @Nested
    inner class `a trace of an earlier incident` {
        @Test
        fun `bills an order once after lost table responses and a restart, guarding against double billing`() = replay("order-billed-twice")

        @Test
        fun `counts a top-up once that is repeated after a lost response`() = replay("top-up-repeated")

        @Test
        fun `grants the last request from tokens that are idle in another router`() = replay("idle-tokens")
    }

    private class Step(
        private val fleet: BudgetFleet,
        private val fields: JsonObject,
        private val location: String,
    ) {
        private fun text(field: String) = fields.getValue(field).jsonPrimitive.content

        private fun number(field: String) = fields.getValue(field).jsonPrimitive.long

        private val router get() = fleet.routers.getValue(text("router"))

        suspend fun run() {
            when (val action = text("do")) {
                "start" -> fleet.start(text("router"), number("incarnation"), text("vm"))
                "create" -> fleet.administration.create(BUDGET)
                "topUp" -> topUp()
                "wait" -> delay(number("ms"))
                "spend" ->
                    assertEquals(
                        fields.getValue("expect").jsonPrimitive.boolean,
                        router.spend(text("request"), number("tokens")),
                        location,
                    )
                "partitionTable" -> router.tableLink.isPartitioned = fields.getValue("partitioned").jsonPrimitive.boolean
                "dropResponses" -> fleet.table.dropNextResponses = number("count").toInt()
                "kill" -> router.kill()
                "drain" -> assertTrue(router.maintenance.drain(), "$location: drain is incomplete")
                "expect" -> expect()
                else -> error("$location: unknown action $action")
            }
        }

        private suspend fun topUp() {
            val change = fleet.administration.topUp(BUDGET, text("id"), number("tokens"))
            assertEquals(text("expect"), change::class.simpleName, location)
        }

        private suspend fun expect() {
            val status = fleet.status()
            expectTokens("limitTokens") { status.limitTokens }
            expectTokens("settledTokens") { status.settledTokens }
            // The grant of a restarted process is reclaimed; tokens that it may have used beyond its bills stay charged.
            fields["settledTokensAtLeast"]?.let {
                assertTrue(status.settledTokens >= it.jsonPrimitive.long, "$location: ${status.settledTokens} settled tokens")
            }
            expectTokens("billedTokens") { fleet.writtenBills().values.sumOf { it.charge.totalTokens } }
            expectTokens("unallocatedTokens") { status.unallocatedTokens }
            fields["bill"]?.let { bill ->
                val written = fleet.writtenBills().getValue(RequestId(bill.jsonPrimitive.content))
                assertEquals(number("tokens"), written.charge.totalTokens, "$location: tokens of the bill")
            }
        }

        private inline fun expectTokens(
            field: String,
            actual: () -> Long,
        ) {
            fields[field]?.let { assertEquals(it.jsonPrimitive.long, actual(), "$location: $field") }
        }
    }
}
