package org.lycheemount.app.router.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Tag
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.measureTime

class GatewayShortGraceTest {
    private val fixture = GatewayFixture()

    @AfterEach
    fun closeFixture() = fixture.close()

    @Test
    @Tag("known-red")
    fun `a gateway with a running stream stops within a grace period of one second, guarding against a process that is killed`() {
        val settings = fixture.settings(drainGraceS = 1.0)
        val address = settings.callersAddress.run { InetSocketAddress(substringBefore(':'), substringAfter(':').toInt()) }
        val process = GatewayProcess(settings).apply { start() }
        val stream = runBlocking { withTimeout(START_TIMEOUT_MS) { openStream(address) } }

        val elapsed = measureTime { runBlocking { process.stop() } }

        stream.close()
        assertTrue(elapsed.inWholeMilliseconds <= GRACE_MS, "stopped after $elapsed")
    }

    private suspend fun openStream(address: InetSocketAddress): Socket {
        while (true) {
            try {
                val socket = Socket().apply { connect(address) }
                socket.getOutputStream().write("GET /endless/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n".encodeToByteArray())
                val statusLine = socket.getInputStream().readNBytes("HTTP/1.1 200".length).decodeToString()
                if (statusLine.endsWith("200")) return socket
                socket.close()
            } catch (_: IOException) {
                // The listener is not open yet.
            }
            delay(20)
        }
    }

    private companion object {
        private const val START_TIMEOUT_MS = 20_000L
        private const val GRACE_MS = 1_000L
    }
}
