package org.lycheemount.admin

import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.junit.jupiter.api.Nested
import org.lycheemount.common.TeamId
import org.lycheemount.config.FieldError
import org.lycheemount.config.hashKey
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

private const val TEAM = "/admin/v1/items/team/claims"
private const val OTHER_TEAM = "/admin/v1/items/team/other"

class AdminInterfaceTest {
    @Nested
    inner class `a role` {
        private val operatorRequests =
            listOf(
                "PUT" to "$OTHER_TEAM?expectedVersion=0",
                "DELETE" to "$TEAM?expectedVersion=0",
                "POST" to "/admin/v1/changes",
                "PUT" to "/admin/v1/budgets/b",
                "POST" to "/admin/v1/budgets/b/top-ups",
                "POST" to "/admin/v1/budgets/b/grants/known/write-off",
                "POST" to "/admin/v1/republish",
                "POST" to "/admin/v1/drain",
                "POST" to "/admin/v1/teams/other/keys",
                "DELETE" to "/admin/v1/teams/other/keys/ab",
            )

        @Test
        fun `is denied operations that need another role, and nothing changes`() =
            runAdminTest {
                val version = addTeam()
                val body = """{"teamId":"other","budgetId":"b"}"""

                for ((method, path) in operatorRequests) {
                    for (key in listOf(
                        "read-key",
                        "team-key",
                    )) {
                        assertEquals(403, call(method, path, body, key).status, "$key $method $path")
                    }
                    for (key in listOf(null, "", "wrong")) assertEquals(401, call(method, path, body, key).status, "$key $method $path")
                }

                assertEquals(403, call("POST", "/admin/v1/teams/claims/keys", key = "read-key").status)
                assertEquals(version, configuration.current().sequence)
                assertEquals(0, drainCount)
            }

        @Test
        fun `of an operator allows the write-off of a grant, and an unknown grant is not found`() =
            runAdminTest {
                assertEquals(200, call("POST", "/admin/v1/budgets/b/grants/known/write-off").status)
                assertEquals(404, call("POST", "/admin/v1/budgets/b/grants/other/write-off").status)
            }

        @Test
        fun `of a team admin allows managing the keys of its own team, which are shown once and stored as a hash`() =
            runAdminTest {
                addTeam()

                val created = call("POST", "/admin/v1/teams/claims/keys", key = "team-key")
                val key =
                    created.body
                        .getValue("key")
                        .jsonPrimitive.content
                val hash = hashKey(key)
                val stored =
                    configuration
                        .current()
                        .teams
                        .getValue(TeamId("claims"))
                        .keyHashes
                val responses = listOf("/admin/v1/state", "/admin/v1/items", "/admin/v1/history").map { call("GET", it).body.toString() }
                val exposedText = "$responses ${table.copyRows()} ${log.events}"

                assertEquals(setOf(hash), stored)
                assertFalse(key in exposedText)
                assertEquals(200, call("DELETE", "/admin/v1/teams/claims/keys/$hash", key = "team-key").status)
                assertTrue(
                    configuration
                        .current()
                        .teams
                        .getValue(TeamId("claims"))
                        .keyHashes
                        .isEmpty(),
                )
            }
    }

    @Nested
    inner class `a change` {
        @Test
        fun `with one invalid item is rejected as a whole, with the field and its range`() =
            runAdminTest {
                val response = call("POST", "/admin/v1/changes", """{"edits":[${classEdit("a", 1)},${classEdit("b", 0)}]}""")

                assertEquals(400, response.status)
                assertEquals(listOf(FieldError("class/b.firstTokenTargetMs", "integer from 1 to 86400000")), response.error.fields)
                assertTrue(configuration.current().workClasses.isEmpty())
            }

        private fun classEdit(
            id: String,
            firstTokenTargetMs: Long,
        ): String {
            val body = """{"workClassId":"$id","firstTokenTargetMs":$firstTokenTargetMs,"completionTargetMs":2}"""
            return """{"kind":"class","id":"$id","expectedVersion":0,"body":$body}"""
        }

        @Test
        fun `that conflicts gets the current version, and a repeated one gets the original outcome`() =
            runAdminTest {
                val body = """{"teamId":"claims","budgetId":"b"}"""
                val first = call("PUT", "$TEAM?expectedVersion=0&changeId=c1", body)
                val version =
                    first.body
                        .getValue("sequence")
                        .jsonPrimitive.long

                val repeated = call("PUT", "$TEAM?expectedVersion=0&changeId=c1", body)
                val conflicting = call("PUT", "$TEAM?expectedVersion=0&changeId=c2", body)

                assertEquals(first.body, repeated.body)
                assertEquals(409, conflicting.status)
                assertEquals(listOf(AdminError.ItemVersion("team", "claims", version)), conflicting.error.current)
            }

        @Test
        fun `during a table outage is rejected with retry-after and the change id`() =
            runAdminTest {
                table.isAvailable = false

                val response = call("PUT", "$TEAM?expectedVersion=0&changeId=c1", """{"teamId":"claims","budgetId":"b"}""")

                assertEquals(503, response.status)
                assertEquals("unavailable", response.error.reason)
                assertEquals("c1", response.error.changeId)
                assertEquals("2", response.httpResponse.headers["retry-after"])
            }
    }

    @Nested
    inner class `a top-up` {
        @Test
        fun `is applied once per id and is rejected if repeated with another amount`() =
            runAdminTest {
                val path = "/admin/v1/budgets/b/top-ups"

                val first = call("POST", path, """{"topUpId":"t1","tokens":500}""")
                val repeated = call("POST", path, """{"topUpId":"t1","tokens":500}""")
                val other = call("POST", path, """{"topUpId":"t1","tokens":600}""")

                assertEquals(listOf(200, 200, 409), listOf(first, repeated, other).map { it.status })
                assertEquals(500, budgets.topUps.values.sum())
            }
    }

    @Nested
    inner class `invalid input` {
        @Test
        fun `is rejected with an AdminError and leaves the configuration unchanged`() =
            runAdminTest {
                val version = addTeam()
                val random = Random(5)
                val paths =
                    listOf(
                        "PUT" to "$TEAM?expectedVersion=$version",
                        "POST" to "/admin/v1/changes",
                        "POST" to "/admin/v1/validate",
                        "POST" to "/admin/v1/budgets/b/top-ups",
                    )

                repeat(200) { round ->
                    val (method, path) = paths[round % paths.size]
                    val response = call(method, path, invalidBody(random, round))

                    assertTrue(response.status in setOf(400, 413), "round $round: ${response.status} ${response.body}")
                    assertTrue(response.error.fields.isNotEmpty(), "round $round")
                }

                assertEquals(400, call("PUT", "$TEAM?expectedVersion=-1", "{}").status)
                assertEquals(400, call("GET", "/admin/v1/history?limit=501").status)
                assertEquals(404, call("GET", "/admin/v1/items/team/unknown").status)
                assertEquals(404, call("GET", "/elsewhere").status)
                assertEquals(version, configuration.current().sequence)
            }

        private fun invalidBody(
            random: Random,
            round: Int,
        ): ByteArray {
            val valid = """{"teamId":"claims","budgetId":5,"limits":{"queueShare":0.5},"edits":[{"kind":"team"}],"tokens":1.5}"""
            return when (round % 5) {
                0 -> random.nextBytes(random.nextInt(1, 300))
                1 -> ("[".repeat(1_500) + "]".repeat(1_500)).toByteArray()
                2 -> ByteArray(5_000) { ' '.code.toByte() }
                3 -> valid.replace("5", random.nextInt().toString()).toByteArray()
                else ->
                    valid.toByteArray().also { bytes ->
                        repeat(5) { bytes[random.nextInt(bytes.size)] = random.nextInt(32, 127).toByte() }
                    }
            }
        }
    }
}
