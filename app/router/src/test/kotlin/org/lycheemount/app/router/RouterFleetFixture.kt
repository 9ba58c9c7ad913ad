package org.lycheemount.app.router

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import org.lycheemount.budget.Bill
import org.lycheemount.budget.BillsResult
import org.lycheemount.budget.BudgetChange
import org.lycheemount.budget.BudgetStatus
import org.lycheemount.budget.BudgetStatusResult
import org.lycheemount.budget.createBudgetAdministration
import org.lycheemount.common.BudgetId
import org.lycheemount.common.ModelId
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.WorkClassId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.Model
import org.lycheemount.config.Team
import org.lycheemount.config.WorkClass
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.VmList
import org.lycheemount.platform.adapter.testing.freeListenerPort
import org.lycheemount.settings.ListenerSettings
import org.lycheemount.settings.PlatformSettings
import org.lycheemount.settings.RequestSettings
import org.lycheemount.settings.RouterSettings
import org.lycheemount.standin.EngineStandInSettings
import org.lycheemount.standin.PlatformFaults
import org.lycheemount.standin.PlatformStandInSettings
import org.lycheemount.standin.enginemodel.EngineParameters
import org.lycheemount.standin.startEngineStandIn
import org.lycheemount.standin.startPlatformStandIn
import org.lycheemount.testing.LISTENER_HOST
import org.lycheemount.testing.sha256Hex
import java.nio.file.Files
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger
import kotlin.io.path.writeText

/** Two complete routers with a simulated engine and platform over loopback, one team and one budget. */
internal class RouterFleetFixture : AutoCloseable {
    private val directory = Files.createTempDirectory("lycheemount-test")
    private val budgetId = BudgetId("b")
    private val zoneId = ZoneId("z")
    private val modelId = ModelId("m")

    /** Number of requests that got status 200. */
    val successfulRequests = AtomicInteger()

    val engine =
        startEngineStandIn(
            EngineStandInSettings(
                host = LISTENER_HOST,
                models = mapOf(modelId to "1"),
                parameters = EngineParameters(stepBaseUs = 500, prefillPerTokenUs = 0),
            ),
        )
    private val peerPorts = List(2) { freeListenerPort() }

    /** Ports of the administration API, on [LISTENER_HOST]. */
    val adminPorts = List(2) { freeListenerPort() }
    val platform = startPlatformStandIn(PlatformStandInSettings(LISTENER_HOST, vms = vmList()))
    private val clients = platform.clients()
    private val administration = createBudgetAdministration(clients.table) { UUID.randomUUID().toString() }
    private val client = HttpClient(CIO) { install(HttpTimeout) { requestTimeoutMillis = AWAIT_TIMEOUT_MS } }
    val routers = List(2) { RouterProcess(settings(it)) }
    private val ports = runBlocking { routers.map { it.start() } }
    private var areRoutersStopped = false

    init {
        runBlocking {
            check(administration.create(budgetId) is BudgetChange.Applied)
            check(administration.topUp(budgetId, "first", BUDGET_TOKENS) is BudgetChange.Applied)
            for (router in ports.indices) await { chat(router, tokens = 1).status.value == HTTP_OK }
        }
    }

    /** Stops both routers, unless they have been stopped. */
    suspend fun stopRouters() {
        if (areRoutersStopped) return
        areRoutersStopped = true
        routers.forEach { it.stop() }
    }

    override fun close() {
        platform.changeFaults { PlatformFaults() }
        runBlocking { stopRouters() }
        client.close()
        clients.close()
        platform.close()
        engine.close()
        directory.toFile().deleteRecursively()
    }

    suspend fun chat(
        router: Int,
        tokens: Int,
        stream: Boolean = false,
    ): HttpResponse =
        client
            .post("http://127.0.0.1:${ports[router]}/v1/chat/completions") {
                bearerAuth(KEY)
                val message = """{"role":"user","content":"hello [[tokens=$tokens]]"}"""
                setBody("""{"model":"m","stream":$stream,"max_tokens":200,"messages":[$message]}""")
            }.also { if (it.status.value == HTTP_OK) successfulRequests.incrementAndGet() }

    suspend fun bills(): List<Bill> = (administration.bills(budgetId, null, 100_000) as? BillsResult.Page)?.bills.orEmpty()

    suspend fun status(): BudgetStatus = (administration.status(budgetId) as BudgetStatusResult.Found).status

    suspend fun await(condition: suspend () -> Boolean) = withTimeout(AWAIT_TIMEOUT_MS) { while (!condition()) delay(POLL_MS) }

    private fun vmList() =
        VmList(
            peerPorts.mapIndexed { index, port ->
                RouterVm(VmId("vm-r$index"), RouterId("r$index"), RegionId("g"), zoneId, LISTENER_HOST, port)
            },
            listOf(engine.describe(zoneId)),
            0,
        )

    private fun settings(index: Int): RouterSettings {
        val url = platform.url()
        return RouterSettings(
            routerId = RouterId("r$index"),
            vmId = VmId("vm-r$index"),
            regionId = RegionId("g"),
            zoneId = zoneId,
            callers = ListenerSettings("127.0.0.1", port = 0),
            admin = ListenerSettings(LISTENER_HOST, adminPorts[index]),
            peers = ListenerSettings(LISTENER_HOST, peerPorts[index]),
            platform = PlatformSettings("$url/table", "$url/objects", "$url/vms", "$url/weights"),
            peerSecretFile = directory.resolve("secret").apply { writeText("a secret of the tests only") }.toString(),
            configurationFile =
                directory
                    .resolve(
                        "configuration.json",
                    ).apply { writeText(Json.encodeToString(configuration())) }
                    .toString(),
            requests = RequestSettings(drainNoticeMs = 0),
        )
    }

    private fun configuration(): ConfigurationSnapshot {
        val workClass = WorkClass(WorkClassId("c"), firstTokenTargetMs = 30_000, completionTargetMs = 60_000)
        val team = Team(TeamId("t"), budgetId, setOf(sha256Hex(KEY)))
        val model = Model(modelId, "1", defaultWorkClassId = workClass.workClassId)
        return ConfigurationSnapshot(
            sequence = 1,
            teams = mapOf(team.teamId to team),
            workClasses = mapOf(workClass.workClassId to workClass),
            models = mapOf(modelId to model),
        )
    }

    companion object {
        const val BUDGET_TOKENS = 1_000_000L
        private const val KEY = "key"
        private const val HTTP_OK = 200
        private const val AWAIT_TIMEOUT_MS = 60_000L
        private const val POLL_MS = 20L
    }
}
