package org.lycheemount.peer.socket

import io.ktor.network.tls.certificates.buildKeyStore
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.lycheemount.common.DefaultEventLog
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerReply
import java.nio.file.Files
import java.nio.file.Path
import java.security.KeyStore
import java.util.Base64
import javax.security.auth.x500.X500Principal

internal val echoChannel = PeerChannel("echo")
internal val fleetSecret = "a secret of the fleet under test".toByteArray()

internal fun identity(
    id: String,
    vm: String = "vm-$id",
    incarnation: Long = 1,
) = RouterIdentity(RouterId(id), VmId(vm), RegionId("bc-west"), ZoneId("fraser"), incarnation)

/** Runs messengers on loopback for one test. */
internal class PeerFixture(
    private val settings: PeerLinkSettings = PeerLinkSettings(initialRetryDelayMs = 20, maxRetryDelayMs = 100),
) {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    suspend fun start(
        identity: RouterIdentity,
        secret: ByteArray = fleetSecret,
        tls: ReloadingTlsContext? = null,
    ): Pair<DefaultPeerMessenger, PeerEndpoint> {
        val messenger = DefaultPeerMessenger(identity, { PeerSecret(secret) }, DefaultEventLog("peer"), settings, tls)
        messenger.register(echoChannel) { _, payload -> payload }
        val port = messenger.bind(scope, "127.0.0.1", 0)
        messenger.start()
        return messenger to PeerEndpoint(identity.routerId, identity.vmId, "127.0.0.1", port)
    }
}

internal fun runPeerTest(
    settings: PeerLinkSettings = PeerLinkSettings(initialRetryDelayMs = 20, maxRetryDelayMs = 100),
    body: suspend PeerFixture.() -> Unit,
) {
    val fixture = PeerFixture(settings)
    try {
        runBlocking(Dispatchers.Default) { withTimeout(120_000) { fixture.body() } }
    } finally {
        fixture.scope.cancel()
    }
}

/** Calls [to], whose reply may take up to [timeoutMs]. */
internal suspend fun DefaultPeerMessenger.callEcho(
    to: PeerEndpoint,
    timeoutMs: Long = 60_000,
): PeerReply = call(to.routerId, echoChannel, "ping".toByteArray(), timeoutMs)

internal suspend fun waitUntil(condition: () -> Boolean) {
    while (!condition()) delay(5)
}

/** Certificate files of a router in [directory]. */
internal class CertificateFiles(
    private val directory: Path,
) {
    val tlsFiles = TlsFiles(directory.resolve("own.pem"), directory.resolve("own.key"), directory.resolve("trusted.pem"))

    fun generate(commonName: String): KeyStore {
        val store =
            buildKeyStore {
                certificate("own") {
                    password = "changeit"
                    subject = X500Principal("CN=$commonName")
                }
            }
        Files.writeString(tlsFiles.certificateFile, pem("CERTIFICATE", store.getCertificate("own").encoded))
        Files.writeString(tlsFiles.privateKeyFile, pem("PRIVATE KEY", store.getKey("own", "changeit".toCharArray()).encoded))
        return store
    }

    fun trust(vararg stores: KeyStore) {
        Files.writeString(
            tlsFiles.trustedCertificatesFile,
            stores.joinToString("") { pem("CERTIFICATE", it.getCertificate("own").encoded) },
        )
    }

    private fun pem(
        label: String,
        content: ByteArray,
    ) = "-----BEGIN $label-----\n${Base64.getMimeEncoder(
        64,
        byteArrayOf('\n'.code.toByte()),
    ).encodeToString(content)}\n-----END $label-----\n"
}
