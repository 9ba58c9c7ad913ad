package org.lycheemount.listener

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.util.concurrent.TimeUnit

/**
 * Records when connections are accepted, and accepts no more while [maxAccepted] of them are open. Those that are not registered yet or
 * that their threads are about to close count as well, since they hold descriptors. The operating system queues the connections that are
 * not accepted. The limit may be exceeded by the number of connections that the listener accepts in one turn. Pauses for a second when a
 * connection cannot be accepted, for example for lack of file descriptors.
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
    private var isPaused = false

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

    /** Stops reading before [cause] is passed on: Netty's own pause would end in reading whatever the number of open connections. */
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        val listener = context.channel()
        if (!isPaused) {
            setPaused(listener, true)
            listener.eventLoop().schedule({ setPaused(listener, false) }, PAUSE_MS, TimeUnit.MILLISECONDS)
        }
        context.fireExceptionCaught(cause)
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
        updateReading(listener)
    }

    @Synchronized
    private fun setPaused(
        listener: Channel,
        value: Boolean,
    ) {
        isPaused = value
        updateReading(listener)
    }

    private fun updateReading(listener: Channel) {
        listener.config().isAutoRead = !isPaused && acceptedCount < maxAccepted
    }

    private companion object {
        private const val PAUSE_MS = 1_000L
    }
}
