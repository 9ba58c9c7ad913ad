package org.lycheemount.settings

import kotlinx.serialization.Serializable

/**
 * Address of a listener.
 *
 * @property port 0 binds a free port chosen by the operating system.
 * @property tls null disables TLS.
 */
@Serializable
data class ListenerSettings(
    val host: String,
    val port: Int,
    val tls: TlsSettings? = null,
)

/** PEM files of a certificate, its private key and the trusted certificates. They are reloaded when they change. */
@Serializable
data class TlsSettings(
    val certificateFile: String,
    val privateKeyFile: String,
    val trustedCertificatesFile: String,
)
