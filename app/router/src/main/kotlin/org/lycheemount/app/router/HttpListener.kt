package org.lycheemount.app.router

import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.netty.handler.ssl.SslHandler
import org.lycheemount.common.EventLog
import org.lycheemount.peer.socket.ReloadingTlsContext
import org.lycheemount.peer.socket.TlsFiles
import org.lycheemount.settings.ListenerSettings
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

/** Creates an HTTP server on [listener]: CIO for plaintext, Netty for TLS, because Ktor's CIO server does not support TLS. */
internal fun createHttpServer(
    listener: ListenerSettings,
    eventLog: EventLog,
    module: Application.() -> Unit,
): EmbeddedServer<*, *> {
    val tls = listener.tls?.let { createReloadingTlsContext(it, eventLog) } ?: return createPlaintextServer(listener, module)
    return embeddedServer(
        Netty,
        configure = {
            connector {
                host = listener.host
                port = listener.port
            }
            // Ktor's TLS connector builds its context only once. A handler per connection picks up replaced certificates.
            channelPipelineConfig = { addFirst("tls", SslHandler(tls.serverEngine(needClientCertificate = false))) }
        },
        module = module,
    )
}

private fun createPlaintextServer(
    listener: ListenerSettings,
    module: Application.() -> Unit,
): EmbeddedServer<*, *> =
    embeddedServer(
        CIO,
        configure = {
            connector {
                host = listener.host
                port = listener.port
            }
        },
        module = module,
    )
