package org.lycheemount.app.ctl

import java.nio.file.Files
import java.nio.file.Path
import java.security.KeyStore
import java.security.cert.CertificateFactory
import javax.net.ssl.TrustManager
import javax.net.ssl.TrustManagerFactory

/** Creates a trust manager that trusts only the certificates in the PEM [file]. */
internal fun createTrustManager(file: Path): TrustManager {
    val store = KeyStore.getInstance(KeyStore.getDefaultType()).apply { load(null, null) }
    Files.newInputStream(file).use { input ->
        CertificateFactory.getInstance("X.509").generateCertificates(input).forEachIndexed { index, certificate ->
            store.setCertificateEntry("trusted-$index", certificate)
        }
    }
    val factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm()).apply { init(store) }
    return factory.trustManagers.first()
}
