package org.lycheemount.caller

import io.ktor.client.HttpClient
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.HttpStatement
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.backend.BackendHttp
import org.lycheemount.backend.DefaultModelEngineClient
import org.lycheemount.backend.DefaultPlainServiceClient
import org.lycheemount.common.BudgetId
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.DefaultEventLog
import org.lycheemount.common.MemoryBudget
import org.lycheemount.common.ModelId
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.ServiceId
import org.lycheemount.common.StateDumpSource
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.WorkClassId
import org.lycheemount.common.ZoneId
import org.lycheemount.common.createMemoryBudget
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.Model
import org.lycheemount.config.PlainService
import org.lycheemount.config.Team
import org.lycheemount.config.TeamLimits
import org.lycheemount.config.WorkClass
import org.lycheemount.listener.ConnectionRefusal
import org.lycheemount.listener.createCallerServer
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.stream.StreamTimeouts
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.sha256Hex
import kotlin.test.fail

/** [CallerApi] on a real socket, with a fake ledger and a fake scheduler. */
internal class RouterFixture(
    routerId: String = "r1",
    val ledger: FakeLedger = FakeLedger(),
    teamLimits: TeamLimits = TeamLimits(),
    limits: CallerLimits = CallerLimits(streamTimeouts = LONG_STREAM_TIMEOUTS),
    network: (CoroutineScope) -> FakePeerNetwork = { FakePeerNetwork(it, latencyMs = 0) },
    idleTimeoutS: Long = 60,
    memory: MemoryBudget = createMemoryBudget(),
    stateSources: List<StateDumpSource> = emptyList(),
    onRefused: (ConnectionRefusal) -> Unit = {},
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val backendHttp = BackendHttp()
    private val workClassId = WorkClassId("c1")
    val identity = RouterIdentity(RouterId(routerId), VmId("vm-$routerId"), RegionId("g1"), ZoneId("z1"), incarnation = 1)
    private val peers: PeerMessenger = network(scope).join(identity)
    val scheduler = FakeScheduler()
    val dispatcher = WorkDispatcher(scheduler, DefaultClock())
    val drain = DrainState()
    val claims = FakeClaims()
    val client = HttpClient(io.ktor.client.engine.cio.CIO) { expectSuccess = false }
    private val snapshot =
        ConfigurationSnapshot(
            teams =
                listOf("key1", "key2").associate { key ->
                    TeamId("team-$key").let {
                        it to
                            Team(it, BudgetId("b1"), setOf(sha256Hex(key)), teamLimits)
                    }
                },
            workClasses = mapOf(workClassId to WorkClass(workClassId, 1_000, 10_000)),
            models = mapOf(ModelId("m1") to Model(ModelId("m1"), "1", defaultWorkClassId = workClassId)),
            services = mapOf(ServiceId("s1") to PlainService(ServiceId("s1"), callPriceTokens = 7, defaultWorkClassId = workClassId)),
        )
    private val services =
        CallerServices(
            DefaultClock(),
            { snapshot },
            ledger,
            ledger,
            claims,
            dispatcher,
            DefaultModelEngineClient(backendHttp),
            DefaultPlainServiceClient(backendHttp),
            peers,
            DefaultEventLog("test"),
            PrometheusRegistry(),
            scope,
            drain,
            limits,
            memory,
            stateSources,
        )
    private val api = CallerApi(services)
    private val server =
        createCallerServer("127.0.0.1", port = 0, idleTimeoutS, memory = memory, onRefused = onRefused) { api.installInto(this) }
            .apply { start() }

    suspend fun port(): Int = server.port()

    suspend fun url(path: String): String = "http://127.0.0.1:${port()}$path"

    /** Replaces the list of backend servers. */
    fun setBackendServers(vararg engines: ScriptedEngine) = dispatcher.onBackendServers(engines.map { it.describe() })

    suspend fun chat(
        stream: Boolean = false,
        maxTokens: Int = 100,
        key: String = "key1",
    ): HttpResponse = client.post(url(CHAT)) { chatRequest(stream, maxTokens, key) }

    suspend fun openStream(maxTokens: Int = 100): HttpStatement = client.preparePost(url(CHAT)) { chatRequest(true, maxTokens, "key1") }

    override fun close() {
        client.close()
        runBlocking { server.stop(graceMs = 0, lingerMs = 0) }
        scope.cancel()
        backendHttp.close()
    }

    private fun io.ktor.client.request.HttpRequestBuilder.chatRequest(
        stream: Boolean,
        maxTokens: Int,
        key: String,
    ) {
        bearerAuth(key)
        setBody("""{"model":"m1","stream":$stream,"max_tokens":$maxTokens,"messages":[{"role":"user","content":"hello"}]}""")
    }

    companion object {
        const val CHAT = "/v1/chat/completions"

        /** Longer than an engine that does not hang takes on any machine. */
        val LONG_STREAM_TIMEOUTS = StreamTimeouts(firstChunkMs = 60_000, nextChunkMs = 60_000)

        // "user: hello" has 11 bytes.
        const val PROMPT_TOKENS = 3L

        fun expectedTokens(count: Int): String = (0 until count).joinToString("") { "t$it " }
    }
}

/** Waits until [condition], which other threads fulfil, is true; fails with [description] after a minute. */
internal suspend fun awaitUntil(
    description: String,
    condition: () -> Boolean,
) {
    withTimeoutOrNull(60_000) { while (!condition()) delay(5) } ?: fail("not true within a minute: $description")
}

/** Returns the concatenated contents of all deltas of a server-sent event stream. */
internal fun deltas(events: String): String = Regex("\"content\":\"([^\"]*)\"").findAll(events).joinToString("") { it.groupValues[1] }
