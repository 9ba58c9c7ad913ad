package org.lycheemount.listener

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator

/**
 * Receive buffers of [bufferBytes] in the heap, one for each call. Netty's own allocators return direct buffers, which add to the memory
 * beyond the heap, and whose freed parts the allocators of the threads keep.
 */
internal class HeapReceiveBuffers(
    private val bufferBytes: Int,
) : DefaultMaxMessagesRecvByteBufAllocator() {
    @Suppress("OVERRIDE_DEPRECATION")
    override fun newHandle(): RecvByteBufAllocator.Handle = Handle()

    private inner class Handle : MaxMessageHandle() {
        override fun guess(): Int = bufferBytes

        override fun allocate(allocator: ByteBufAllocator): ByteBuf = allocator.heapBuffer(bufferBytes)
    }
}
