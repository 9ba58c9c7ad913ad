package org.lycheemount.app.router

import io.ktor.server.application.Application
import io.netty.handler.ssl.SslHandler
import org.lycheemount.common.EventLog
import org.lycheemount.common.MemoryBudget
import org.lycheemount.listener.CallerServer
import org.lycheemount.listener.ConnectionLimits
import org.lycheemount.listener.ConnectionRefusal
import org.lycheemount.listener.ListenerBounds
import org.lycheemount.listener.createCallerServer
import org.lycheemount.peer.socket.ReloadingTlsContext
import org.lycheemount.peer.socket.TlsFiles
import org.lycheemount.settings.ListenerSettings
import org.lycheemount.settings.ProcessLimitSettings
import org.lycheemount.settings.TlsSettings
import java.nio.file.Path

/** Creates a TLS context that reloads the certificate files of [tls] for new connections when they change. */
internal fun createReloadingTlsContext(
    tls: TlsSettings,
    eventLog: EventLog,
): ReloadingTlsContext =
    ReloadingTlsContext(
        TlsFiles(Path.of(tls.certificateFile), Path.of(tls.privateKeyFile), Path.of(tls.trustedCertificatesFile)),
        eventLog,
    )

/** Creates an HTTP server on [listener], with TLS if it is configured. */
internal fun createHttpServer(
    listener: ListenerSettings,
    eventLog: EventLog,
    bounds: ListenerBounds = ListenerBounds(),
    memory: MemoryBudget? = null,
    limits: () -> ConnectionLimits = { ConnectionLimits() },
    onRefused: (ConnectionRefusal) -> Unit = {},
    module: Application.() -> Unit,
): CallerServer {
    val tls = listener.tls?.let { createReloadingTlsContext(it, eventLog) }
    return createCallerServer(
        listener.host,
        listener.port,
        bounds = bounds,
        memory = memory,
        limits = limits,
        onRefused = onRefused,
        // Ktor's TLS connector builds its context only once. A handler per connection picks up replaced certificates.
        configurePipeline = { tls?.let { addFirst("tls", SslHandler(it.serverEngine(needClientCertificate = false))) } },
        module = module,
    )
}

/** Bounds of the listener for callers. */
internal fun ProcessLimitSettings.listenerBounds(): ListenerBounds =
    ListenerBounds(receiveBufferBytes = receiveBufferBytes).let { bounds ->
        maxConnections?.let { bounds.copy(maxConnections = it) }
            ?: bounds
    }

/**
 * Bounds of listeners for operators, load balancers and collectors of metrics, which keep a few connections each. Apart from those of the
 * listener for callers, so that the connections of both leave descriptors for servers.
 */
internal val OPERATIONS_BOUNDS = ListenerBounds(maxConnections = 128, threads = 2)

/** Bytes that the requests on a listener with [OPERATIONS_BOUNDS] may hold together. */
internal const val OPERATIONS_MEMORY_BYTES = 4_194_304L
