package org.lycheemount.peer.socket

import org.lycheemount.common.EventLog
import java.nio.file.Files
import java.nio.file.Path
import java.security.KeyFactory
import java.security.KeyStore
import java.security.PrivateKey
import java.security.cert.Certificate
import java.security.cert.CertificateFactory
import java.security.spec.PKCS8EncodedKeySpec
import java.util.Base64
import javax.net.ssl.KeyManagerFactory
import javax.net.ssl.SSLContext
import javax.net.ssl.SSLEngine
import javax.net.ssl.TrustManagerFactory

/** PEM files: a certificate chain, its PKCS #8 private key and the trusted certificates. */
data class TlsFiles(
    val certificateFile: Path,
    val privateKeyFile: Path,
    val trustedCertificatesFile: Path,
)

/**
 * TLS context that is recreated when one of [files] changes. Open connections keep the certificate that they were opened with.
 * If the changed files cannot be read, the previous context stays in use and the error is logged. Thread-safe.
 */
class ReloadingTlsContext(
    private val files: TlsFiles,
    private val log: EventLog,
) {
    private var fingerprint = readFingerprint()
    private var context = createContext()

    /** Returns the context for the current content of the files. */
    @Synchronized
    fun current(): SSLContext {
        val currentFingerprint = readFingerprint()
        if (currentFingerprint == fingerprint) return context
        fingerprint = currentFingerprint
        try {
            context = createContext()
            log.info("certificate_reloaded", "file" to files.certificateFile)
        } catch (failure: Exception) {
            log.warn("certificate_not_reloaded", "file" to files.certificateFile, "error" to failure.toString())
        }
        return context
    }

    /** Returns an engine for the server side of a new connection. */
    fun serverEngine(needClientCertificate: Boolean): SSLEngine =
        newEngine().apply {
            useClientMode = false
            needClientAuth = needClientCertificate
        }

    /** Returns an engine for the client side of a new connection. The peer's certificate must be issued by a trusted one. */
    fun clientEngine(): SSLEngine = newEngine().apply { useClientMode = true }

    private fun newEngine(): SSLEngine = current().createSSLEngine().apply { enabledProtocols = arrayOf("TLSv1.3", "TLSv1.2") }

    private fun readFingerprint(): List<Any> =
        listOf(files.certificateFile, files.privateKeyFile, files.trustedCertificatesFile).map { file ->
            runCatching { Files.getLastModifiedTime(file).toMillis() to Files.size(file) }.getOrDefault(0L to -1L)
        }

    private fun createContext(): SSLContext {
        val chain = readCertificates(files.certificateFile)
        val keyStore = emptyKeyStore().apply { setKeyEntry("own", readPrivateKey(files.privateKeyFile), PASSWORD, chain.toTypedArray()) }
        val trustStore = emptyKeyStore()
        readCertificates(files.trustedCertificatesFile).forEachIndexed { index, certificate ->
            trustStore.setCertificateEntry("trusted-$index", certificate)
        }
        val keyManagers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm()).apply { init(keyStore, PASSWORD) }
        val trustManagers = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm()).apply { init(trustStore) }
        return SSLContext.getInstance("TLS").apply { init(keyManagers.keyManagers, trustManagers.trustManagers, null) }
    }

    private fun emptyKeyStore(): KeyStore = KeyStore.getInstance("PKCS12").apply { load(null, PASSWORD) }

    private fun readCertificates(file: Path): List<Certificate> =
        Files.newInputStream(file).use { CertificateFactory.getInstance("X.509").generateCertificates(it).toList() }

    private fun readPrivateKey(file: Path): PrivateKey {
        val body =
            Files
                .readString(file)
                .lines()
                .filterNot { it.startsWith("-----") }
                .joinToString("")
        val spec = PKCS8EncodedKeySpec(Base64.getDecoder().decode(body))
        return KEY_ALGORITHMS.firstNotNullOfOrNull { runCatching { KeyFactory.getInstance(it).generatePrivate(spec) }.getOrNull() }
            ?: throw java.security.InvalidKeyException("$file holds no PKCS #8 private key of ${KEY_ALGORITHMS.joinToString()}")
    }

    private companion object {
        // The key store API requires a password. The key store is in memory, so the password protects nothing.
        private val PASSWORD = "memory".toCharArray()
        private val KEY_ALGORITHMS = listOf("RSA", "EC", "Ed25519")
    }
}
