package org.lycheemount.listener

import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.embedded.EmbeddedChannel
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class HeapReceiveBuffersTest {
    @Test
    fun `a connection reads into the heap, guarding against input of many callers that adds to the memory beyond it`() {
        val connections = CallerConnections(maxConnections = 1, memory = null) {}
        val connection = connections.connectionHandler(IDLE_TIMEOUT_S) { ConnectionLimits() }
        val channel = EmbeddedChannel(CallerInputHandler(connection, { ConnectionLimits() }) {}, connection)

        val buffer =
            channel
                .config()
                .getRecvByteBufAllocator<RecvByteBufAllocator>()
                .newHandle()
                .allocate(channel.alloc())

        assertFalse(buffer.isDirect)
        assertEquals(READ_BYTES, buffer.capacity())
        buffer.release()
        channel.finishAndReleaseAll()
    }

    private companion object {
        private const val IDLE_TIMEOUT_S = 60L
        private const val READ_BYTES = 4_096
    }
}
