package org.lycheemount.listener

import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.routing.RoutingCall
import io.netty.channel.Channel
import kotlinx.coroutines.suspendCancellableCoroutine
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume

/** Connection on which a caller sent its request. */
class CallerConnection internal constructor(
    private val channel: Channel,
) {
    /** Whether neither the caller nor this process has closed the connection, as far as it has been read. */
    val isOpen: Boolean get() = channel.isActive

    /** Whether a body on this connection is malformed, or the connection ended within it. No other request follows it then. */
    val hasBrokenBody: Boolean get() = channel.attr(CallerConnectionHandler.BROKEN_BODY).get() == true

    /**
     * Breaks off the response that is being written: what has been written of it is sent, and the connection is closed in place of its
     * end, so that the caller cannot take it for complete.
     */
    fun breakOffResponse() = channel.attr(CallerConnectionHandler.BROKEN_RESPONSE).set(true)

    /** Waits until the thread of this connection has run all tasks that are ready, and has read its sockets. */
    suspend fun awaitRead() =
        suspendCancellableCoroutine { continuation ->
            // A scheduled task runs in the turn after the one in which it is added, which begins by reading the sockets.
            channel.eventLoop().schedule({ continuation.resume(Unit) }, 0, TimeUnit.NANOSECONDS)
        }
}

/** Returns the connection of this call, or null if it was not accepted by a [CallerServer]. */
val ApplicationCall.callerConnection: CallerConnection?
    get() {
        val engineCall = (this as? RoutingCall)?.pipelineCall?.engineCall ?: this
        return (engineCall as? NettyApplicationCall)?.let { CallerConnection(it.context.channel()) }
    }
