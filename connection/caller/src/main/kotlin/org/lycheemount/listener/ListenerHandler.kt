package org.lycheemount.listener

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/**
 * Records when connections are accepted, and accepts no more while [maxAccepted] of them are open. Those that are not registered yet or
 * that their threads are about to close count as well, since they hold descriptors. The operating system queues the connections that are
 * not accepted. The limit may be exceeded by the number of connections that the listener accepts in one turn.
 *
 * @param nowNs monotonic time in nanoseconds.
 * @param onOpened called when the listener is open.
 */
internal class ListenerHandler(
    private val maxAccepted: Int,
    private val nowNs: () -> Long,
    private val onOpened: (Channel) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var acceptedCount = 0

    override fun channelActive(context: ChannelHandlerContext) {
        onOpened(context.channel())
        context.fireChannelActive()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is Channel) onAccepted(context.channel(), message)
        context.fireChannelRead(message)
    }

    private fun onAccepted(
        listener: Channel,
        connection: Channel,
    ) {
        // Connections are registered by several threads, in any order.
        connection.attr(CallerConnectionHandler.ACCEPTED_AT_NS).set(nowNs())
        changeCount(listener, 1)
        connection.closeFuture().addListener { changeCount(listener, -1) }
    }

    /** Called by the threads of the connections as well. */
    @Synchronized
    private fun changeCount(
        listener: Channel,
        change: Int,
    ) {
        acceptedCount += change
        listener.config().isAutoRead = acceptedCount < maxAccepted
    }
}
