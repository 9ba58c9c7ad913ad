package org.lycheemount.backend

import kotlinx.coroutines.async
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import java.io.IOException
import java.lang.ref.WeakReference
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class BackendConnectionTest {
    private val requestHead = "POST / HTTP/1.1\r\n\r\n".encodeToByteArray()

    private fun TestScope.connect(socket: FakeBackendSocket) = BackendConnection(socket, backgroundScope)

    private fun TestScope.send(
        socket: FakeBackendSocket,
        bodyBytes: Int,
    ) = connect(socket).also { it.send(requestHead, ByteArray(bodyBytes)) }

    private suspend fun readBody(
        connection: BackendConnection,
        lengthBytes: Long? = null,
    ): String = connection.responseBody(lengthBytes, isChunked = false).readUpTo(LARGE_BYTES).decodeToString()

    @Nested
    inner class `a response without a length` {
        @Test
        fun `is truncated if a write has received the reset and the connection only seems to end`() =
            runTest {
                val socket = FakeBackendSocket(capacityBytes = SMALL_BYTES)
                val connection = send(socket, LARGE_BYTES)

                socket.receive("part")
                socket.resetWrites()
                socket.receiveEnd()
                runCurrent()

                assertFailsWith<IOException> { readBody(connection) }
            }

        @Test
        fun `is truncated if the first write has received the reset`() =
            runTest {
                val socket = FakeBackendSocket()
                socket.receive("part")
                socket.resetWrites()
                socket.receiveEnd()

                val connection = send(socket, SMALL_BYTES)

                assertFailsWith<IOException> { readBody(connection) }
            }

        @Test
        fun `is truncated if the connection seems to end and a later write receives the reset`() =
            runTest {
                val socket = FakeBackendSocket(capacityBytes = SMALL_BYTES)
                val connection = send(socket, LARGE_BYTES)
                socket.receive("part")
                socket.receiveEnd()
                val body = async { runCatching { readBody(connection) } }
                runCurrent()

                val isEarly = body.isCompleted
                socket.resetWrites()

                assertFalse(isEarly)
                assertTrue(body.await().exceptionOrNull() is IOException)
            }

        @Test
        fun `is truncated if a read receives the reset`() =
            runTest {
                val socket = FakeBackendSocket()
                val connection = send(socket, SMALL_BYTES)

                socket.receive("part")
                socket.receiveReset()

                assertFailsWith<IOException> { readBody(connection) }
            }

        @Test
        fun `is truncated if its connection is closed here`() =
            runTest {
                val socket = FakeBackendSocket()
                val connection = send(socket, SMALL_BYTES)
                socket.receive("part")
                runCurrent()

                connection.close()
                runCurrent()

                assertFailsWith<IOException> { readBody(connection) }
            }

        @Test
        fun `is complete if the server takes the whole request after it`() =
            runTest {
                val socket = FakeBackendSocket(capacityBytes = SMALL_BYTES)
                val connection = send(socket, LARGE_BYTES)
                socket.receive("whole")
                socket.receiveEnd()
                val body = async { readBody(connection) }
                runCurrent()

                socket.takeMore(LARGE_BYTES)

                assertEquals("whole", body.await())
            }

        @Test
        fun `is complete if the server has taken the whole request before`() =
            runTest {
                val socket = FakeBackendSocket()
                val connection = send(socket, LARGE_BYTES)

                socket.receive("whole")
                socket.receiveEnd()

                assertEquals("whole", readBody(connection))
            }
    }

    @Nested
    inner class `a response with a length` {
        @Test
        fun `is complete although the connection breaks after it`() =
            runTest {
                val socket = FakeBackendSocket(capacityBytes = SMALL_BYTES)
                val connection = send(socket, LARGE_BYTES)

                socket.receive("whole")
                socket.resetWrites()
                socket.receiveReset()
                runCurrent()

                assertEquals("whole", readBody(connection, lengthBytes = 5))
            }

        @Test
        fun `is truncated if the connection breaks in it`() =
            runTest {
                val socket = FakeBackendSocket(capacityBytes = SMALL_BYTES)
                val connection = send(socket, LARGE_BYTES)

                socket.receive("part")
                socket.resetWrites()
                socket.receiveEnd()

                assertFailsWith<IOException> { readBody(connection, lengthBytes = 5) }
            }
    }

    @Nested
    inner class `a request` {
        @Test
        fun `that is short is one write`() =
            runTest {
                val socket = FakeBackendSocket()

                send(socket, SMALL_BYTES)

                assertEquals(listOf(requestHead.size + SMALL_BYTES), socket.writtenBytes)
            }

        @Test
        fun `is sent in pieces while its response is read`() =
            runTest {
                val socket = FakeBackendSocket(capacityBytes = SMALL_BYTES)
                val connection = send(socket, LARGE_BYTES)
                socket.receive("early")
                val early = readBody(connection, lengthBytes = 5)
                val wasSent = connection.isRequestSent

                socket.takeMore(LARGE_BYTES)
                runCurrent()

                assertEquals("early", early)
                assertFalse(wasSent)
                assertTrue(connection.isRequestSent)
                assertEquals(requestHead.size + LARGE_BYTES, socket.writtenBytes.sum())
                assertTrue(socket.writtenBytes.all { it <= RequestBytes.PIECE_BYTES })
            }

        @Test
        fun `is not sent on after the connection is closed`() =
            runTest {
                val socket = FakeBackendSocket(capacityBytes = SMALL_BYTES)
                val connection = send(socket, LARGE_BYTES)
                runCurrent()

                connection.close()
                socket.takeMore(LARGE_BYTES)
                runCurrent()

                assertTrue(socket.isClosed)
                assertEquals(SMALL_BYTES, socket.writtenBytes.sum())
            }
    }

    @Nested
    inner class `an idle connection` {
        private fun recordRequest(
            connection: BackendConnection,
            number: Int,
        ): WeakReference<String> {
            val id = number.toString().repeat(ID_CHARS)
            connection.onRequest(id)
            return WeakReference(id)
        }

        @Test
        fun `does not keep the ids of its requests, so that long ones do not fill the memory`() =
            runTest {
                val connection = connect(FakeBackendSocket())
                val ids = List(REQUESTS) { recordRequest(connection, it) }

                System.gc()

                assertEquals(0, ids.count { it.get() != null })
                assertTrue(connection.hasCarried("3".repeat(ID_CHARS)))
                assertFalse(connection.hasCarried("other"))
            }
    }

    private companion object {
        private const val REQUESTS = 8
        private const val ID_CHARS = 15_000
        private const val SMALL_BYTES = 1_000
        private const val LARGE_BYTES = 1_000_000
    }
}
