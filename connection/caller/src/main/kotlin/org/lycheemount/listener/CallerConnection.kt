package org.lycheemount.listener

import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.response.header
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.RoutingPipelineCall
import io.netty.channel.Channel
import kotlinx.coroutines.suspendCancellableCoroutine
import org.lycheemount.common.MemoryAccount
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume

/** Connection on which a caller sent its request. */
class CallerConnection internal constructor(
    private val channel: Channel,
    private val call: ApplicationCall,
) {
    /** Whether neither the caller nor this process has closed the connection, as far as it has been read. */
    val isOpen: Boolean get() = channel.isActive

    /** Whether a body on this connection is malformed, or the connection ended within it. No other request follows it then. */
    val hasBrokenBody: Boolean get() = channel.attr(CallerConnectionHandler.BROKEN_BODY).get() == true

    /**
     * Returns the account to which the connection charges the request of the call. It must be released once the request has been handled.
     * Null if the connection charges nothing.
     */
    fun retainMemory(): MemoryAccount? =
        channel
            .attr(CallerConnectionHandler.CONNECTION)
            .get()
            ?.memory
            ?.retain()

    /** Permits the connection to read another [bytes] bytes of the body of the call, beyond [ConnectionLimits.initialBodyBytes]. */
    fun permitBody(bytes: Long) {
        channel.attr(CallerConnectionHandler.CONNECTION).get()?.permitBody(bytes)
    }

    /**
     * Announces the response to the call, before it is sent. The connection is closed in place of the end of the response unless the
     * result has been completed and all of its bytes are sent, so that the caller cannot take a part for the whole.
     */
    fun beginResponse(): CallerResponse {
        val response = CallerResponse()
        val announced = channel.attr(CallerConnectionHandler.RESPONSES).get() ?: return response
        // The HTTP engine passes nothing but messages on to the handler of the connection, which removes this header.
        call.response.header(CallerConnectionHandler.RESPONSE_HEADER, announced.add(response))
        // The handler of the connection informs only what was announced before it closed.
        if (!channel.isActive) response.onClosed()
        return response
    }

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
        val pipelineCall = (this as? RoutingCall)?.pipelineCall ?: this
        val engineCall = (pipelineCall as? RoutingPipelineCall)?.engineCall ?: pipelineCall
        return (engineCall as? NettyApplicationCall)?.let { CallerConnection(it.context.channel(), this) }
    }
