package org.lycheemount.app.router.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import java.io.IOException
import java.net.ConnectException
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class GatewayShutdownTest {
    private val fixture = GatewayFixture()
    private val settings = fixture.settings(drainGraceS = 4.0)
    private val callersAddress = socketAddressOf(settings.callersAddress)
    private val process = GatewayProcess(settings)

    @BeforeEach
    fun startProcess() =
        runBlocking {
            process.start()
            withTimeout(START_TIMEOUT_MS) { while ("200" !in tryRequest()) delay(20) }
        }

    @AfterEach
    fun closeFixture() = fixture.close()

    @Nested
    inner class `once a gateway has stopped` {
        @Test
        fun `it refuses connections, guarding against requests that are read and never answered while the process exits`() {
            runBlocking { process.stop() }

            assertFailsWith<ConnectException> { Socket().connect(callersAddress) }
        }

        @Test
        fun `its connections are closed, guarding against requests that are sent to a process that exits`() {
            val connection = CallerConnection()
            connection.send("/plain/")
            connection.readHead()

            runBlocking { process.stop() }

            assertEquals(END_OF_STREAM, connection.read())
        }
    }

    @Nested
    inner class `while the store does not respond` {
        @Test
        fun `requests that wait for a newer configuration get a response, guarding against connections that are closed without one`() {
            // Opened before, since the listener may be closed when the requests are sent.
            val connections = List(WAITING_REQUESTS) { CallerConnection() }
            val stopped = thread { runBlocking { process.stop() } }
            Thread.sleep(NOTICE_MS - CONFIGURATION_WAIT_MS)
            fixture.silenceStore()
            connections.forEach { it.send("/not-configured/") }

            val heads = connections.map { runCatching { it.readHead() }.getOrElse { failure -> failure.message.orEmpty() } }
            stopped.join()

            assertEquals(emptyList(), heads.filterNot { "HTTP/1.1 " in it })
        }
    }

    @Nested
    inner class `at the end of the grace period` {
        @Test
        fun `a request without a response yet gets one, guarding against callers that do not learn that it may have run`() {
            val connection = CallerConnection()
            connection.send("/hanging/")

            runBlocking { process.stop() }

            assertContains(connection.readHead(), " 504 ")
        }

        @Test
        fun `a running stream is closed without its end`() {
            val connection = CallerConnection()
            connection.send("/endless/")
            val head = connection.readHead()

            runBlocking { process.stop() }

            assertContains(head, " 200 ")
            val events = connection.readToEnd()
            assertContains(events, "id: 2")
            assertEquals(false, events.endsWith(LAST_CHUNK))
        }
    }

    private fun tryRequest(): String =
        try {
            CallerConnection().run {
                send("/plain/")
                readHead()
            }
        } catch (failure: IOException) {
            failure.message.orEmpty()
        }

    private inner class CallerConnection {
        private val socket = Socket().apply { connect(callersAddress) }
        private val input = socket.apply { soTimeout = READ_TIMEOUT_MS }.getInputStream().buffered()

        fun send(path: String) = socket.getOutputStream().write(callerRequest(path))

        fun readHead(): String =
            buildString {
                while (!endsWith("\r\n\r\n")) append(input.read().also { if (it < 0) throw IOException("closed in a head") }.toChar())
            }

        fun readToEnd(): String = input.readBytes().decodeToString()

        /** Returns the next byte after the body of [readHead]'s response, or [END_OF_STREAM]. */
        fun read(): Int {
            input.readNBytes("done".length)
            return input.read()
        }
    }

    private companion object {
        private const val START_TIMEOUT_MS = 60_000L
        private const val READ_TIMEOUT_MS = 60_000
        private const val NOTICE_MS = 2_000L
        private const val CONFIGURATION_WAIT_MS = 500L
        private const val WAITING_REQUESTS = 6
        private const val END_OF_STREAM = -1
        private const val LAST_CHUNK = "0\r\n\r\n"
    }
}
