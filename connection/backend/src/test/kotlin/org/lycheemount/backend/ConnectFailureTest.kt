package org.lycheemount.backend

import io.ktor.network.sockets.Socket
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Timeout
import org.lycheemount.common.BackendServer
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import org.lycheemount.testing.SocketServer
import java.net.BindException
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.net.SocketException
import java.nio.channels.UnresolvedAddressException
import kotlin.test.Test
import kotlin.test.assertEquals

/** Connections that cannot be opened, for a reason at the server or in this process. */
@Timeout(60)
class ConnectFailureTest {
    private val server = SocketServer {}.use { it.describe() }
    private val localFailures =
        listOf(
            SocketException("Too many open files"),
            BindException("Cannot assign requested address"),
            NoRouteToHostException("No route to host"),
            UnresolvedAddressException(),
        )
    private val refusal = ConnectException("Connection refused")

    private fun <T> runWithConnect(
        connect: suspend () -> Socket,
        body: suspend (BackendHttp) -> T,
    ): T = BackendHttp(BackendConnections(CONNECT_TIMEOUT_MS, connect = { _, _ -> connect() })).use { runBlocking { body(it) } }

    private suspend fun generate(http: BackendHttp): GenerateEvent {
        val request = GenerateRequest(RequestId("a"), ModelId("m"), "p", 1, emptyList(), 8, 0, 0)
        return DefaultModelEngineClient(http).generate(server, request).toList().single()
    }

    private suspend fun pass(http: BackendHttp): PassThroughOutcome<Unit> =
        DefaultPassThroughClient(http).exchange(server, PassThroughCall("GET", "/", emptyList(), ByteArray(0))) {}

    @Nested
    inner class `a request` {
        @Test
        fun `has not run if its connection could not be opened, guarding against a shortage of descriptors that looks like a crash`() {
            for (failure in localFailures + refusal) {
                val event = runWithConnect({ throw failure }, ::generate)

                assertEquals(GenerateEvent.Failed(AttemptFailure.CONNECT_FAILED), event, "$failure")
            }
        }

        @Test
        fun `has not run if the server does not respond to the connection`() {
            assertEquals(GenerateEvent.Failed(AttemptFailure.CONNECT_FAILED), runWithConnect({ awaitCancellation() }, ::generate))
        }

        @Test
        fun `that is passed through has not run either, and its outcome has the reason`() {
            val outcome = runWithConnect({ throw localFailures.first() }, ::pass)

            assertEquals(PassThroughOutcome.Failed(AttemptFailure.CONNECT_FAILED, "Too many open files"), outcome)
        }
    }

    @Nested
    inner class `a server` {
        private fun refuses(
            server: BackendServer,
            http: BackendHttp,
        ) = http.use { runBlocking { it.refusesConnections(server) } }

        @Test
        fun `that has ended refuses connections`() {
            assertEquals(true, refuses(server, BackendHttp(connectTimeoutMs = LONG_CONNECT_TIMEOUT_MS)))
        }

        @Test
        fun `that listens does not refuse them`() {
            SocketServer {}.use { assertEquals(false, refuses(it.describe(), BackendHttp(connectTimeoutMs = LONG_CONNECT_TIMEOUT_MS))) }
        }

        @Test
        fun `does not count as ended if this process cannot connect, guarding against the quarantine of prompts of a sound server`() {
            for (failure in localFailures) {
                assertEquals(false, runWithConnect({ throw failure }) { it.refusesConnections(server) }, "$failure")
            }
        }

        @Test
        fun `does not count as ended if it does not respond`() {
            assertEquals(false, runWithConnect({ awaitCancellation() }) { it.refusesConnections(server) })
        }
    }

    private companion object {
        private const val CONNECT_TIMEOUT_MS = 200L

        /** Longer than a connection on loopback takes on any machine. */
        private const val LONG_CONNECT_TIMEOUT_MS = 30_000L
    }
}
