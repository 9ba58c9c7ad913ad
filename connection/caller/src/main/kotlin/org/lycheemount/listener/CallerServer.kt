package org.lycheemount.listener

import io.ktor.server.application.Application
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.netty.channel.Channel
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPipeline
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.MemoryBudget
import java.net.InetSocketAddress

/** HTTP server that accepts the connections of callers. */
class CallerServer internal constructor(
    private val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration>,
    private val connections: CallerConnections,
) {
    /** Number of open connections. */
    val openConnections: Int get() = connections.size

    /** Opens the listeners. */
    fun start() {
        server.start(wait = false)
    }

    /** Returns the port of the first listener once it is open. */
    suspend fun port(): Int =
        server.engine
            .resolvedConnectors()
            .first()
            .port

    /**
     * Closes the listeners and waits until the callers have closed their connections. After [graceMs] it closes those without a request in
     * progress, and after another [lingerMs] all of them. Until then, requests on open connections are served.
     */
    suspend fun stop(
        graceMs: Long,
        lingerMs: Long,
    ) {
        connections.closeListeners()
        withTimeoutOrNull(graceMs) { connections.awaitAllClosed() }
        connections.closeOnceIdle()
        withTimeoutOrNull(lingerMs) { connections.awaitAllClosed() }
        server.stopSuspend(0, STOP_TIMEOUT_MS)
    }

    private companion object {
        private const val STOP_TIMEOUT_MS = 100L
    }
}

/**
 * Creates a server that listens on [host] and [port], and handles requests as [module] sets up.
 *
 * @param port 0 for a free port.
 * @param furtherAddresses addresses of further listeners, which serve the same requests.
 * @param idleTimeoutS time in seconds after which a connection without a request in progress is closed, unless [limits] state one.
 * @param bounds bounds of all connections together.
 * @param memory budget to which requests are charged from the first byte of their heads; null if they are not.
 * @param limits limits on connections, asked for whenever they are applied.
 * @param onRefused called when a connection is refused for what the caller sent before a request was handled.
 * @param configurePipeline changes the handlers of a new connection, for example adds TLS.
 */
fun createCallerServer(
    host: String,
    port: Int,
    idleTimeoutS: Long = IDLE_TIMEOUT_S,
    furtherAddresses: List<InetSocketAddress> = emptyList(),
    bounds: ListenerBounds = ListenerBounds(),
    memory: MemoryBudget? = null,
    limits: () -> ConnectionLimits = { ConnectionLimits() },
    onRefused: (ConnectionRefusal) -> Unit = {},
    configurePipeline: ChannelPipeline.() -> Unit = {},
    module: Application.() -> Unit,
): CallerServer {
    val connections = CallerConnections(bounds.maxConnections, memory) { onRefused(ConnectionRefusal.TOO_MANY_CONNECTIONS) }
    val server =
        embeddedServer(
            Netty,
            configure = {
                for (address in listOf(InetSocketAddress.createUnresolved(host, port)) + furtherAddresses) {
                    connector {
                        this.host = address.hostString
                        this.port = address.port
                    }
                }
                shareWorkGroup = true
                bounds.threads?.let {
                    connectionGroupSize = 1
                    workerGroupSize = 1
                    callGroupSize = it - 1
                }
                responseWriteTimeoutSeconds = WRITE_TIMEOUT_S
                configureBootstrap = {
                    // Ktor configures one bootstrap for all listeners.
                    handler(listenerInitializer { connections.listenerHandler() })
                    // Accepted sockets have the buffer size of the listener.
                    option(ChannelOption.SO_RCVBUF, bounds.receiveBufferBytes)
                    childOption(ChannelOption.SO_SNDBUF, bounds.sendBufferBytes)
                }
                channelPipelineConfig = {
                    val connection = connections.connectionHandler(idleTimeoutS, limits)
                    val input = CallerInputHandler(connection, limits, onRefused)
                    addBefore(KTOR_HANDLER_NAME, null, connection)
                    replace(KTOR_CODEC_NAME, KTOR_CODEC_NAME, SingleMessageCodec(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES))
                    addAfter(KTOR_CODEC_NAME, null, input.decoded)
                    addFirst(input)
                    configurePipeline()
                }
            },
            module = module,
        )
    return CallerServer(server, connections)
}

private fun listenerInitializer(handler: () -> ChannelHandler) =
    object : ChannelInitializer<Channel>() {
        override fun initChannel(listener: Channel) {
            listener.pipeline().addLast(handler())
        }
    }

/** Name of Ktor's handler of HTTP messages, which starts the handler of a request. */
private const val KTOR_HANDLER_NAME = "http1"

/** Name of the HTTP codec in Ktor's pipeline. */
private const val KTOR_CODEC_NAME = "codec"
private const val MAX_REQUEST_LINE_BYTES = 16_384
private const val MAX_HEADER_BYTES = 65_536

// Longer than callers keep idle connections, so that the callers and not the router close them.
private const val IDLE_TIMEOUT_S = 60L

// A caller that reads slowly receives each part of a response in less time.
private const val WRITE_TIMEOUT_S = 60
