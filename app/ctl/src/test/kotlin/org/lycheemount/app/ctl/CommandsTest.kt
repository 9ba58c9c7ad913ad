package org.lycheemount.app.ctl

import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import org.lycheemount.admin.AdminInterface
import org.lycheemount.admin.AdminKey
import org.lycheemount.admin.AdminRole
import org.lycheemount.admin.AdminServices
import org.lycheemount.budget.BillsResult
import org.lycheemount.budget.BudgetAdministration
import org.lycheemount.budget.BudgetChange
import org.lycheemount.budget.BudgetStatusResult
import org.lycheemount.common.BudgetId
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.ConfigurationPeers
import org.lycheemount.config.ConfigurationService
import org.lycheemount.config.ItemKey
import org.lycheemount.config.ItemKind
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableService
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class CommandsTest {
    @TempDir
    lateinit var directory: Path

    private val document =
        """
        {"workClasses": [{"workClassId": "interactive", "firstTokenTargetMs": 500, "completionTargetMs": 60000}],
         "models": {"m": {"modelId": "m", "version": "1", "defaultWorkClassId": "interactive"}},
         "teams": [{"teamId": "claims", "budgetId": "claims-budget"}],
         "budgets": [{"budgetId": "claims-budget", "tokens": 1000}]}
        """.trimIndent()

    private fun file(text: String): String = directory.resolve("configuration.json").also { Files.writeString(it, text) }.toString()

    @Nested
    inner class `a configuration file` {
        @Test
        fun `is rejected with all invalid fields before anything is sent`() {
            val invalid = document.replace("500", "0").replace("1000", "0").replace("\"teams\"", "\"team\"")

            val errors = assertIs<DocumentResult.Invalid>(parseDocument(invalid)).errors

            assertEquals(listOf("team", "workClasses[0].firstTokenTargetMs", "budgets[0].tokens"), errors.map { it.field })
        }

        @Test
        fun `is applied once, and applying it again changes nothing and keeps keys created in between`() =
            withRouter {
                val path = file(document)

                assertEquals(ExitCode.OK, commands().apply(path, prune = false))
                assertEquals(ExitCode.OK, commands().changeWithoutRetry("POST", "/teams/claims/keys"))
                val sequence = configuration.current().sequence
                assertEquals(ExitCode.OK, commands().apply(path, prune = false))

                assertEquals(sequence, configuration.current().sequence)
                assertEquals(
                    1,
                    configuration
                        .current()
                        .teams
                        .getValue(TeamId("claims"))
                        .keyHashes.size,
                )
                assertEquals(mapOf("initial" to 1000L), topUps)
            }

        @Test
        fun `recreates a deleted item and deletes unlisted items only on request`() =
            withRouter {
                val path = file(document)
                commands().apply(path, prune = false)
                val version = configuration.replica.find(ItemKey(ItemKind.MODEL, "m"))!!.version
                assertEquals(ExitCode.OK, commands().change("DELETE", "/items/model/m?expectedVersion=$version"))

                assertEquals(ExitCode.OK, commands().apply(path, prune = false))
                assertEquals(1, configuration.current().models.size)
                assertEquals(ExitCode.OK, commands().apply(file("{}"), prune = true))
                assertTrue(configuration.current().workClasses.isEmpty() && configuration.current().models.isEmpty())
            }
    }

    @Nested
    inner class `the exit code` {
        @Test
        fun `distinguishes refused, conflict and unavailable`() =
            withRouter {
                val team = file("""{"teamId": "t", "budgetId": "b"}""")
                commands().put("team", "t", team, 0, "c1")

                assertEquals(ExitCode.CONFLICT, commands().put("team", "t", team, 0, "c2"))
                assertEquals(ExitCode.REFUSED, commands(key = "wrong").show("/status"))
                assertEquals(ExitCode.REFUSED, commands().show("/items/team/none"))
                assertEquals(ExitCode.UNAVAILABLE, commands(port = 1).show("/status"))
                table.isAvailable = false
                assertEquals(ExitCode.UNAVAILABLE, commands().put("team", "t", team, 0, "c3"))
            }
    }

    private inner class RouterFixture : BudgetAdministration {
        val table = FakeTableService(DefaultClock())
        val topUps = mutableMapOf<String, Long>()
        private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        private val identity = RouterIdentity(RouterId("router-1"), VmId("vm-1"), RegionId("r"), ZoneId("z"), 1)
        private val peers =
            object : ConfigurationPeers {
                override fun routerCount() = 1

                override fun pushTargets() = emptyList<RouterId>()
            }
        val configuration = ConfigurationService(table, FakePeerNetwork(scope).join(identity), peers, DefaultClock(), FakeEventLog())

        // SHA-256 of "key".
        private val keys = listOf(AdminKey("ops", AdminRole.OPERATOR, "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"))
        private val admin =
            AdminInterface(AdminServices(identity, configuration, this, keys, emptyList(), FakeEventLog(), { emptyList() }, {}))
        private val server = embeddedServer(CIO, host = "127.0.0.1", port = 0) { admin.installInto(this) }
        private val http = createHttpClient(null)
        private var port = 0

        suspend fun start() {
            configuration.start(scope)
            server.start(wait = false)
            port =
                server.engine
                    .resolvedConnectors()
                    .first()
                    .port
            while (!configuration.replica.isLoaded) delay(5)
        }

        fun stop() {
            http.close()
            server.stop(0, 500)
            scope.cancel()
        }

        fun commands(
            key: String = "key",
            port: Int = this.port,
        ) = Commands(
            AdminClient(http, "http://127.0.0.1:$port", key, retryDelayMs = 1),
            Output(OutputFormat.JSON, StringBuilder(), StringBuilder()),
        )

        override suspend fun create(budgetId: BudgetId): BudgetChange = BudgetChange.Applied(0, repeated = false)

        override suspend fun topUp(
            budgetId: BudgetId,
            topUpId: String,
            tokens: Long,
        ): BudgetChange = BudgetChange.Applied(tokens, repeated = topUps.put(topUpId, tokens) != null)

        override suspend fun writeOff(
            budgetId: BudgetId,
            grantId: String,
        ): BudgetChange = if (grantId == "known") BudgetChange.Applied(0, repeated = false) else BudgetChange.NotFound

        override suspend fun status(budgetId: BudgetId): BudgetStatusResult = BudgetStatusResult.NotFound

        override suspend fun bills(
            budgetId: BudgetId,
            afterRequestId: String?,
            limit: Int,
        ): BillsResult = BillsResult.Page(emptyList(), more = false)
    }

    private fun withRouter(body: suspend RouterFixture.() -> Unit) {
        val fixture = RouterFixture()
        try {
            runBlocking(Dispatchers.Default) {
                withTimeout(60_000) {
                    fixture.start()
                    fixture.body()
                }
            }
        } finally {
            fixture.stop()
        }
    }
}
