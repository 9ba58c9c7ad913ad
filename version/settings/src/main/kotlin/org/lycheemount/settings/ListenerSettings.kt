package org.lycheemount.settings

import kotlinx.serialization.Serializable

/**
 * Address of a listener.
 *
 * @property port 0 takes a free port from the system.
 * @property tls null serves plain text.
 */
@Serializable
data class ListenerSettings(
    val host: String,
    val port: Int,
    val tls: TlsSettings? = null,
)

/** Files of a certificate in PEM form; they are read again when they change. */
@Serializable
data class TlsSettings(
    val certificateFile: String,
    val privateKeyFile: String,
    val trustedCertificatesFile: String,
)
