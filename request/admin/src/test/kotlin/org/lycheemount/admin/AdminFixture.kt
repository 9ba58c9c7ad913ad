package org.lycheemount.admin

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.ktor.server.engine.embeddedServer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
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
import org.lycheemount.config.hashKey
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableService

internal class FakeBudgetAdministration : BudgetAdministration {
    val topUps = mutableMapOf<String, Long>()

    override suspend fun create(budgetId: BudgetId): BudgetChange = BudgetChange.Applied(0, repeated = false)

    override suspend fun topUp(
        budgetId: BudgetId,
        topUpId: String,
        tokens: Long,
    ): BudgetChange {
        val earlier = topUps.putIfAbsent(topUpId, tokens)
        if (earlier != null && earlier != tokens) return BudgetChange.IdReused(earlier)
        return BudgetChange.Applied(topUps.values.sum(), repeated = earlier != null)
    }

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

internal class ReceivedResponse(
    val status: Int,
    val body: JsonObject,
    val httpResponse: HttpResponse,
) {
    val error: AdminError.Detail get() = Json.decodeFromJsonElement(AdminError.serializer(), body).error
}

/** The administration API of one router over HTTP on loopback, with an in-memory table. */
internal class AdminFixture {
    val table = FakeTableService(DefaultClock())
    val budgets = FakeBudgetAdministration()
    val log = FakeEventLog()
    var drainCount = 0
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val identity = RouterIdentity(RouterId("router-1"), VmId("vm-1"), RegionId("r"), ZoneId("z"), 1)
    private val peers =
        object : ConfigurationPeers {
            override fun routerCount() = 1

            override fun pushTargets() = emptyList<RouterId>()
        }
    val configuration = ConfigurationService(table, FakePeerNetwork(scope).join(identity), peers, DefaultClock(), log)
    private val keys =
        listOf(
            AdminKey("reader", AdminRole.READ, hashKey("read-key")),
            AdminKey("lead", AdminRole.TEAM_ADMIN, hashKey("team-key"), TeamId("claims")),
            AdminKey("ops", AdminRole.OPERATOR, hashKey("operator-key")),
        )
    private val admin =
        AdminInterface(
            AdminServices(identity, configuration, budgets, keys, listOf(configuration), log, { emptyList() }, { drainCount++ }, 4_096),
        )
    private val server = embeddedServer(io.ktor.server.cio.CIO, host = "127.0.0.1", port = 0) { admin.installInto(this) }
    private val client = HttpClient(CIO)
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
        client.close()
        server.stop(0, 500)
        scope.cancel()
    }

    suspend fun call(
        method: String,
        path: String,
        body: Any? = null,
        key: String? = "operator-key",
    ): ReceivedResponse {
        val response =
            client.request("http://127.0.0.1:$port$path") {
                this.method = HttpMethod(method)
                if (key != null) header("authorization", "Bearer $key")
                if (body != null) setBody(body)
            }
        return ReceivedResponse(response.status.value, Json.parseToJsonElement(response.bodyAsText()) as JsonObject, response)
    }

    /** Stores the team `claims` and returns its version. */
    suspend fun addTeam(): Long {
        call("PUT", "/admin/v1/items/team/claims?expectedVersion=0", """{"teamId":"claims","budgetId":"claims-budget"}""")
        return configuration.current().sequence
    }
}

internal fun runAdminTest(body: suspend AdminFixture.() -> Unit) {
    val fixture = AdminFixture()
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
