package org.lycheemount.config

import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class ItemValidationTest {
    private fun rejectedFields(
        kind: ItemKind,
        id: String,
        body: String,
    ): List<String> = validateItem(ItemKey(kind, id), rowJson.parseToJsonElement(body) as JsonObject).map { it.field }

    @Nested
    inner class `an item` {
        @Test
        fun `is rejected with an error for every invalid field, including unknown and nested ones`() {
            val team = """{"teamId":"t","budgetId":"a b","keyHashes":["x"],"limits":{"queueShare":1.5,"burst":3},"extra":1}"""

            assertEquals(
                listOf("budgetId", "keyHashes[0]", "limits.queueShare", "limits.burst", "extra"),
                rejectedFields(ItemKind.TEAM, "t", team),
            )
        }

        @Test
        fun `is rejected if numbers are given as strings or the completion target is below the first-token target`() {
            val targetAsString = """{"workClassId":"c","firstTokenTargetMs":"500","completionTargetMs":1000}"""
            val reversedTargets = """{"workClassId":"c","firstTokenTargetMs":500,"completionTargetMs":400}"""

            assertEquals(listOf("firstTokenTargetMs"), rejectedFields(ItemKind.WORK_CLASS, "c", targetAsString))
            assertEquals(listOf("completionTargetMs"), rejectedFields(ItemKind.WORK_CLASS, "c", reversedTargets))
        }

        @Test
        fun `is rejected if its id differs from its key or a field of a route is invalid`() {
            val route = """{"method":"get","pathPrefix":"x","idempotent":true}"""
            val service = """{"serviceId":"other","defaultWorkClassId":"c","routes":[$route]}"""

            assertEquals(listOf("serviceId", "routes[0].method", "routes[0].pathPrefix"), rejectedFields(ItemKind.SERVICE, "s", service))
        }
    }
}
