package org.lycheemount.caller.routed

import io.ktor.server.cio.CIO
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.backend.BackendHttp
import org.lycheemount.backend.DefaultPassThroughClient
import org.lycheemount.caller.FakeLedger
import org.lycheemount.caller.FakeScheduler
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.BudgetId
import org.lycheemount.common.DefaultClock
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.ServiceId
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.EngineTraits
import org.lycheemount.config.Route
import org.lycheemount.config.RouteDestination
import org.lycheemount.config.RouteId
import org.lycheemount.config.RouteKind
import org.lycheemount.config.RoutedService
import org.lycheemount.config.Team
import org.lycheemount.testing.FakeEventLog
import java.net.Socket
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class RoutedInterfaceTest {
    private val first = RawServer("i-1")
    private val second = RawServer("i-2")
    private val ledger = FakeLedger()
    private val log = FakeEventLog()
    private val backendHttp = BackendHttp()
    private val dispatcher = WorkDispatcher(FakeScheduler(), DefaultClock())
    private val snapshot =
        ConfigurationSnapshot(
            sequence = 1,
            teams = mapOf(TeamId("t1") to Team(TeamId("t1"), BudgetId("b1"), setOf(sha256("key")), prepaidTokens = 1_000_000)),
            routes =
                listOf(
                    route("/order/", RouteKind.NON_IDEMPOTENT),
                    route("/read/", RouteKind.IDEMPOTENT),
                    route("/chat/", RouteKind.STREAMING),
                    route("/draft/", RouteKind.STREAMING).copy(isResumable = true),
                    route("/slow/", RouteKind.NON_IDEMPOTENT).copy(timeoutMs = 150),
                ),
            routedServices = mapOf(ServiceId("s1") to RoutedService(ServiceId("s1"), 100, EngineTraits(tokensPerEvent = 5))),
        )
    private val routed =
        RoutedInterface(
            RoutedServices(
                identity = RouterIdentity(RouterId("r"), VmId("v"), RegionId("g"), ZoneId("z1"), 1),
                clock = DefaultClock(),
                configuration = { snapshot },
                ledger = ledger,
                replenisher = ledger,
                dispatcher = dispatcher,
                client = DefaultPassThroughClient(backendHttp),
                dialect = PlainDialect,
                eventLog = log,
                metricsRegistry = PrometheusRegistry(),
                retryTerms = { RetryTerms(ratio = 1.0, slack = 100.0, windowMs = 1_000) },
                routerCount = { 1 },
                notReadyReasons = { emptyList() },
            ),
        )
    private val server =
        embeddedServer(
            CIO,
            configure = {
                connector {
                    host = "127.0.0.1"
                    port = 0
                }
            },
        ) { routed.installInto(this) }.start(wait = false)

    init {
        dispatcher.onBackendServers(listOf(first.describe(), second.describe()))
    }

    @AfterEach
    fun close() {
        server.stop(0, 0)
        backendHttp.close()
        first.close()
        second.close()
    }

    private fun route(
        prefix: String,
        kind: RouteKind,
    ) = Route(RouteId(prefix), "h", prefix, kind, listOf(RouteDestination(ServiceId("s1"))), 5_000, 1_000, maxAttempts = 2)

    private fun port(): Int =
        runBlocking {
            server.engine
                .resolvedConnectors()
                .first()
                .port
        }

    private fun open(
        path: String,
        vararg headers: String,
    ) = Socket("127.0.0.1", port()).apply {
        val lines = listOf("POST $path HTTP/1.1", "Host: h", "Authorization: Bearer key", "X-Id: r", "Content-Length: 0") + headers
        getOutputStream().write(lines.joinToString("\r\n", postfix = "\r\n\r\n").encodeToByteArray())
    }

    /** Everything up to the end of the connection. */
    private fun exchange(
        path: String,
        vararg headers: String,
    ): String =
        open(path, "Connection: close", *headers)
            .use {
                runCatching { it.getInputStream().readAllBytes() }.getOrDefault(ByteArray(0))
            }.decodeToString()

    private fun whole(
        body: String,
        status: String = "200 OK",
    ): RawServer.Connection.() -> Unit = { head(status, "Content-Length: ${body.length}", "X-Id: r", "X-Mark: m").also { write(body) } }

    private fun body(answer: String) = answer.substringAfter("\r\n\r\n")

    @Nested
    inner class `an answer` {
        @Test
        fun `is passed on with the server's status, headers and body`() {
            first.answer(whole("hello", "201 Created"))

            val answer = exchange("/order/1?x=a%20b")

            assertTrue(answer.startsWith("HTTP/1.1 201"), answer)
            assertTrue("X-Mark: m" in answer, answer)
            assertEquals("hello", body(answer))
            assertTrue(first.requests.single().startsWith("POST /order/1?x=a%20b HTTP/1.1"), first.requests.single())
            assertFalse("Authorization" in first.requests.single())
        }

        @Test
        fun `to another request that comes first on a kept connection is skipped`() {
            first.answer {
                isKept = true
                head("200 OK", "Content-Length: 5", "X-Id: r")
                write("first")
                head("200 OK", "Content-Length: 4", "X-Id: x")
                write("late")
            }
            first.answer(whole("second"))
            first.answer(whole("second"))

            assertEquals("first", body(exchange("/order/1")))
            assertEquals("second", body(exchange("/order/2")))
        }

        @Test
        fun `reaches every caller that closes after it, guarding against requests that the engine takes for abandoned`() {
            val answers =
                (1..60).map {
                    first.answer { head("200 OK", "Content-Length: 2", "X-Id: r", "Connection: close").also { write("ok") } }
                    body(exchange("/order/$it"))
                }

            assertEquals(List(60) { "ok" }, answers)
        }

        @Test
        fun `without a length ends with its connection`() {
            first.answer {
                head("200 OK", "X-Id: r", "Connection: close")
                write("unframed")
            }

            assertEquals("unframed", body(exchange("/order/1")))
        }
    }

    @Nested
    inner class `an order whose answer breaks off` {
        @Test
        fun `is not sent again and not said to have not run, guarding against an order that goes through twice`() {
            first.answer {
                head("200 OK", "Content-Length: 100", "X-Id: r")
                write("half")
            }

            val answer = exchange("/order/1")

            assertTrue(answer.startsWith("HTTP/1.1 502"), answer)
            assertEquals(1, first.requests.size + second.requests.size)
        }

        @Test
        fun `counts as unknown at the route's timeout, and the server's connection is closed`() {
            first.answer { awaitClose() }

            val answer = exchange("/slow/1")

            assertTrue(answer.startsWith("HTTP/1.1 504"), answer)
            assertNotNull(first.abandoned.poll(10, TimeUnit.SECONDS))
        }
    }

    @Nested
    inner class `a request that a server did not run` {
        @Test
        fun `is sent to another server`() {
            first.answer { head("503 Service Unavailable", "X-Not-Run: 1", "X-Id: r", "Content-Length: 0") }
            second.answer(whole("served"))

            assertEquals("served", body(exchange("/order/1")))
        }
    }

    @Nested
    inner class `a read that a server failed` {
        @Test
        fun `is sent to another server, and the first failure is passed on when that fails as well`() {
            first.answer(whole("mine", "500 Internal Server Error"))
            second.answer { head("503 Service Unavailable", "X-Not-Run: 1", "X-Id: r", "Content-Length: 0") }

            val answer = exchange("/read/1")

            assertTrue(answer.startsWith("HTTP/1.1 500"), answer)
            assertEquals("mine", body(answer))
        }
    }

    @Nested
    inner class `a stream` {
        @Test
        fun `that breaks off in an event goes on at another server without a gap or a repetition`() {
            first.answer {
                startStream()
                event(1)
                event(2)
                chunk("id: 3\nda")
            }
            second.answer {
                startStream()
                event(3)
                event(4)
                endStream()
            }

            val answer = exchange("/draft/1")

            assertEquals(listOf("1", "2", "3", "4"), Regex("id: (\\d+)").findAll(answer).map { it.groupValues[1] }.toList())
            assertTrue(answer.endsWith("0\r\n\r\n"), answer)
            assertTrue("Resume-After: 2" in second.requests.single(), second.requests.single())
        }

        @Test
        fun `that cannot be resumed is cut without its end, guarding against an answer that looks complete`() {
            first.answer {
                startStream()
                event(1)
            }

            val answer = exchange("/chat/1")

            assertTrue("id: 1" in answer, answer)
            assertFalse(answer.endsWith("0\r\n\r\n"), answer)
            assertEquals(0, second.requests.size)
            assertEquals("broken_off:the stream broke off at event 1", outcomeLogged())
        }

        @Test
        fun `whose caller leaves is dropped at the server and charged for what was delivered`() {
            first.answer {
                startStream()
                event(1)
                awaitClose()
            }

            val caller = open("/chat/1", "X-Tokens: 30,40")
            caller.getInputStream().read(ByteArray(20))
            caller.close()

            assertNotNull(first.abandoned.poll(10, TimeUnit.SECONDS))
            assertEquals(35, assertNotNull(ledger.bills.poll(10, TimeUnit.SECONDS)).charge.totalTokens)
            assertEquals("caller_gone", outcomeLogged())
        }

        @Test
        fun `that no server ran is not charged, guarding against prepaid tokens lost to servers that are full`() {
            first.answer { head("503 Service Unavailable", "X-Not-Run: 1", "X-Id: r", "Content-Length: 0") }
            second.answer { head("503 Service Unavailable", "X-Not-Run: 1", "X-Id: r", "Content-Length: 0") }

            val answer = exchange("/chat/1", "X-Tokens: 30,40")

            assertTrue(answer.startsWith("HTTP/1.1 503"), answer)
            assertEquals("not_run:no_backend_server", outcomeLogged())
            assertEquals(0, ledger.bills.size)
        }

        @Test
        fun `of a team without tokens is refused before it reaches a server`() {
            val answer = exchange("/chat/1", "X-Tokens: 600000,600000")

            assertTrue(answer.startsWith("HTTP/1.1 429") || answer.startsWith("HTTP/1.1 503"), answer)
            assertEquals(0, first.requests.size)
        }
    }

    @Nested
    inner class `a request without route or key` {
        @Test
        fun `is refused and logged with its id`() {
            val answer =
                open("/nowhere/").use { socket ->
                    ByteArray(12).also { socket.getInputStream().readNBytes(it, 0, 12) }.decodeToString()
                }

            assertEquals("HTTP/1.1 404", answer)
            assertTrue(
                log.events.any { (name, fields) ->
                    name == "request_refused" && fields["reason"] == "unknown_service" &&
                        fields["request_id"] == "r"
                },
            )
        }
    }

    /** Outcome in the line that ends the request, which may follow the caller's last byte. */
    private fun outcomeLogged(): Any? {
        repeat(LOG_POLLS) {
            log.events.firstOrNull { (name, _) -> name == "request_ended" }?.let { (_, fields) -> return fields["outcome"] }
            Thread.sleep(LOG_POLL_MS)
        }
        return null
    }

    private fun sha256(text: String) = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))

    private companion object {
        private const val LOG_POLLS = 1_000
        private const val LOG_POLL_MS = 10L
    }
}
