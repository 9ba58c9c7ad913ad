package org.lycheemount.listener

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.lycheemount.common.MemoryBudget
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A response that has been written, and whose parts the connection sends when the test says so. */
class ResponseProgressTest {
    private val budget = MemoryBudget(CAPACITY_BYTES)
    private val memory = RequestMemory(budget)
    private val connection = UnsentParts()
    private val channel =
        EmbeddedChannel(connection, CallerConnectionHandler(IDLE_TIMEOUT_S, { ConnectionLimits() }, memory, onOpened = {}, onClosed = {}))

    @BeforeEach
    fun writeResponse() {
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")
        memory.onHead(request)
        channel.writeInbound(request, LastHttpContent.EMPTY_LAST_CONTENT)
        channel.write(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK))
        repeat(PARTS) { channel.write(DefaultHttpContent(Unpooled.copyInt(it))) }
        channel.write(LastHttpContent.EMPTY_LAST_CONTENT)
        channel.flush()
    }

    @AfterEach
    fun close() {
        channel.finishAndReleaseAll()
    }

    /** Another request needs all of the budget at [nowMs]. */
    private fun needMemory(nowMs: Long) {
        val account = budget.open(nowMs)
        account.charge(CAPACITY_BYTES, nowMs)
        account.release()
    }

    @Nested
    inner class `the memory of a response that its caller reads slowly` {
        @Test
        fun `is kept if a part was sent lately, guarding against progress that only the connection sees`() {
            val writtenAtMs = monotonicMs()
            while (monotonicMs() == writtenAtMs) Thread.sleep(1)
            val beforePartMs = monotonicMs()
            connection.sendPart()

            needMemory(beforePartMs + MemoryBudget.MIN_STALL_MS - 1)

            assertFalse(memory.isDropped)
        }

        @Test
        fun `is dropped if nothing was sent for the time of a stall`() {
            connection.sendPart()

            needMemory(monotonicMs() + MemoryBudget.MIN_STALL_MS)

            assertTrue(memory.isDropped)
        }
    }

    @Nested
    inner class `a large part of a response` {
        @Test
        fun `is sent in small ones, so that progress is seen while a slow caller reads it`() {
            val body = ByteArray(3 * MAX_PART_BYTES + 1) { it.toByte() }
            val firstPart = connection.messages.size

            val promise = channel.write(DefaultHttpContent(Unpooled.wrappedBuffer(body)))

            val parts = connection.messages.drop(firstPart).map { ByteBufUtil.getBytes((it as HttpContent).content()) }
            assertEquals(listOf(MAX_PART_BYTES, MAX_PART_BYTES, MAX_PART_BYTES, 1), parts.map { it.size })
            assertContentEquals(body, parts.reduce(ByteArray::plus))
            repeat(firstPart + 3) { connection.sendPart() }
            assertFalse(promise.isDone)
            connection.sendPart()
            assertTrue(promise.isSuccess)
        }
    }

    /** Keeps what is written until the test has it sent. */
    private class UnsentParts : ChannelOutboundHandlerAdapter() {
        val messages = ArrayList<Any>()
        private val promises = ArrayDeque<ChannelPromise>()

        override fun write(
            context: ChannelHandlerContext,
            message: Any,
            promise: ChannelPromise,
        ) {
            messages += message
            promises.addLast(promise)
        }

        fun sendPart() {
            promises.removeFirst().setSuccess()
        }
    }

    private companion object {
        private const val CAPACITY_BYTES = 100_000L
        private const val IDLE_TIMEOUT_S = 60L
        private const val PARTS = 3
        private const val MAX_PART_BYTES = 4_096
    }
}
