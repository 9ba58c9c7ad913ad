package org.lycheemount.platform.http

import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.lycheemount.testing.LISTENER_HOST
import org.lycheemount.testing.SocketServer
import java.io.IOException
import java.net.BindException
import java.net.ConnectException
import java.net.InetAddress
import java.net.NoRouteToHostException
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketAddress
import java.net.SocketException
import java.net.SocketTimeoutException
import javax.net.SocketFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ConnectFailureTest {
    private fun exchange(
        port: Int,
        sockets: SocketFactory = SocketFactory.getDefault(),
    ): PlatformExchange =
        PlatformHttp(callTimeoutMs = 5_000, sockets).use { http ->
            runBlocking { http.exchange(HttpMethod.Get, "http://$LISTENER_HOST:$port/objects/a") }
        }

    @Nested
    inner class `a request for which no connection can be opened` {
        @Test
        fun `has not been sent, whatever the reason, guarding against definite failures with an unknown outcome`() {
            val failures =
                listOf(
                    ConnectException("Connection refused"),
                    NoRouteToHostException("No route to host"),
                    BindException("Cannot assign requested address"),
                    SocketException("Too many open files"),
                    SocketTimeoutException("connect timed out"),
                )

            val exchanges = failures.associate { it.message to exchange(port = 1, FailingSockets(it)) }

            assertEquals(emptyMap(), exchanges.filterValues { it !is PlatformExchange.NotSent })
        }

        @Test
        fun `has not been sent if nothing listens`() {
            val port = ServerSocket(0, 1, InetAddress.getByName(LISTENER_HOST)).use { it.localPort }

            assertIs<PlatformExchange.NotSent>(exchange(port))
        }
    }

    @Nested
    inner class `a request on a connection that breaks` {
        @Test
        fun `has an unknown outcome`() {
            SocketServer { readHead() }.use { assertIs<PlatformExchange.Lost>(exchange(it.port)) }
        }

        @Test
        fun `has an unknown outcome if the connection is reset before the head is read`() {
            SocketServer { reset() }.use { assertIs<PlatformExchange.Lost>(exchange(it.port)) }
        }
    }

    /** Creates sockets whose connection attempts fail with [failure]. */
    private class FailingSockets(
        private val failure: IOException,
    ) : SocketFactory() {
        override fun createSocket(): Socket =
            object : Socket() {
                override fun connect(
                    endpoint: SocketAddress?,
                    timeout: Int,
                ): Unit = throw failure
            }

        override fun createSocket(
            host: String?,
            port: Int,
        ): Socket = throw UnsupportedOperationException()

        override fun createSocket(
            host: String?,
            port: Int,
            localHost: InetAddress?,
            localPort: Int,
        ): Socket = throw UnsupportedOperationException()

        override fun createSocket(
            host: InetAddress?,
            port: Int,
        ): Socket = throw UnsupportedOperationException()

        override fun createSocket(
            address: InetAddress?,
            port: Int,
            localAddress: InetAddress?,
            localPort: Int,
        ): Socket = throw UnsupportedOperationException()
    }
}
