package org.lycheemount.measure.path

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.lycheemount.app.router.RouterProcess
import org.lycheemount.budget.BudgetChange
import org.lycheemount.budget.createBudgetAdministration
import org.lycheemount.common.BackendServerId
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
import org.lycheemount.config.TeamLimits
import org.lycheemount.config.WorkClass
import org.lycheemount.config.hashKey
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.VmList
import org.lycheemount.settings.ListenerSettings
import org.lycheemount.settings.PlatformSettings
import org.lycheemount.settings.RequestSettings
import org.lycheemount.settings.RouterSettings
import org.lycheemount.standin.EngineStandIn
import org.lycheemount.standin.EngineStandInSettings
import org.lycheemount.standin.PlatformStandInSettings
import org.lycheemount.standin.enginemodel.EngineParameters
import org.lycheemount.standin.startEngineStandIn
import org.lycheemount.standin.startPlatformStandIn
import java.net.ServerSocket
import java.nio.file.Path
import java.util.UUID
import kotlin.io.path.createTempDirectory
import kotlin.io.path.writeText

/**
 * Routers, engine stand-ins and a platform stand-in on loopback in this process.
 *
 * @param routersAreLinked whether the VM list contains the routers, so that they connect to each other.
 */
internal class PathFleet(
    routerCount: Int,
    engineCount: Int,
    parameters: EngineParameters,
    routersAreLinked: Boolean,
) : AutoCloseable {
    private val temporaryDirectory = createTempDirectory("measure-path")
    val engines: List<EngineStandIn> =
        List(engineCount) {
            startEngineStandIn(EngineStandInSettings(BackendServerId("engine-$it"), models = mapOf(MODEL to "1"), parameters = parameters))
        }
    private val peerPorts = List(routerCount) { ServerSocket(0).use { socket -> socket.localPort } }
    private val platform = startPlatformStandIn(PlatformStandInSettings(vms = createVmList(routersAreLinked)))
    private val routers = List(routerCount) { RouterProcess(routerSettings(it)) }

    /** Port of the callers' listener of each router. */
    val ports: List<Int>

    init {
        createBudget()
        ports = runBlocking { routers.map { it.start() } }
        ports.forEach(::awaitReady)
    }

    override fun close() {
        runBlocking { routers.forEach { it.stop() } }
        platform.close()
        engines.forEach { it.close() }
    }

    private fun createBudget() =
        platform.clients().use { clients ->
            val administration = createBudgetAdministration(clients.table) { UUID.randomUUID().toString() }
            runBlocking {
                check(administration.create(BUDGET) is BudgetChange.Applied)
                check(administration.topUp(BUDGET, "first", TOP_UP_TOKENS) is BudgetChange.Applied)
            }
        }

    /** Waits until the router serves a request, for which it needs a backend server and a budget grant. */
    private fun awaitReady(port: Int) =
        runBlocking {
            val isReady = { LoopbackCaller(port).use { it.call(chatRequest("[[tokens=1]]", stream = false)) == HTTP_OK } }
            repeat(MAX_READY_CHECKS) { if (isReady()) return@runBlocking else delay(READY_CHECK_INTERVAL_MS) }
            error("router on port $port served no request in $MAX_READY_CHECKS attempts")
        }

    private fun createVmList(routersAreLinked: Boolean): VmList {
        val routers = peerPorts.mapIndexed { index, port -> RouterVm(VmId("vm-r$index"), RouterId("r$index"), REGION, ZONE, HOST, port) }
        return VmList(if (routersAreLinked) routers else emptyList(), engines.map { it.describe(ZONE) }, 0)
    }

    private fun routerSettings(index: Int): RouterSettings {
        val url = platform.url()
        return RouterSettings(
            routerId = RouterId("r$index"),
            vmId = VmId("vm-r$index"),
            regionId = REGION,
            zoneId = ZONE,
            callers = ListenerSettings(HOST, port = 0),
            admin = ListenerSettings(HOST, port = 0),
            peers = ListenerSettings(HOST, peerPorts[index]),
            platform = PlatformSettings("$url/table", "$url/objects", "$url/vms", "$url/weights"),
            peerSecretFile = writeFile("peer.secret", "a secret of the measurement only").toString(),
            configurationFile = writeFile("configuration.json", Json.encodeToString(createConfiguration())).toString(),
            requests = RequestSettings(drainNoticeMs = 0),
        )
    }

    private fun writeFile(
        name: String,
        content: String,
    ): Path = temporaryDirectory.resolve(name).apply { writeText(content) }

    private fun createConfiguration(): ConfigurationSnapshot {
        val team = TeamId("team")
        val workClass = WorkClassId("measured")
        val limits = TeamLimits(requestsPerSecond = 1e6, concurrentRequests = 10_000, queueShare = 1.0)
        val keyHash = hashKey(KEY)
        return ConfigurationSnapshot(
            sequence = 1,
            teams = mapOf(team to Team(team, BUDGET, setOf(keyHash), limits)),
            workClasses = mapOf(workClass to WorkClass(workClass, 60_000, 600_000)),
            models = mapOf(MODEL to Model(MODEL, "1", defaultWorkClassId = workClass)),
        )
    }

    companion object {
        val MODEL = ModelId("model")
        private const val KEY = "measure"
        private const val HOST = "127.0.0.1"
        private const val HTTP_OK = 200
        private const val TOP_UP_TOKENS = 1_000_000_000_000L
        private const val MAX_READY_CHECKS = 200
        private const val READY_CHECK_INTERVAL_MS = 50L
        private val BUDGET = BudgetId("budget")
        private val REGION = RegionId("region")
        private val ZONE = ZoneId("zone")

        /** Renders a chat completion request to a router. */
        fun chatRequest(
            prompt: String,
            stream: Boolean,
        ): ByteArray {
            val body = """{"model":"model","stream":$stream,"max_tokens":400,"messages":[{"role":"user","content":"$prompt"}]}"""
            return httpRequest("POST", "/v1/chat/completions", body)
        }

        /** Renders an HTTP request with the API key of the team. */
        fun httpRequest(
            method: String,
            path: String,
            body: String = "",
        ): ByteArray {
            val head = "$method $path HTTP/1.1\r\nHost: $HOST\r\nAuthorization: Bearer $KEY\r\nContent-Type: application/json"
            return "$head\r\nContent-Length: ${body.length}\r\n\r\n$body".encodeToByteArray()
        }
    }
}
