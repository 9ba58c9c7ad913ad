package org.lycheemount.peer.socket

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import org.lycheemount.common.DefaultEventLog
import org.lycheemount.peer.PeerReply
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs

class TlsTransportTest {
    @TempDir
    lateinit var directory: Path

    private val log = DefaultEventLog("tls")

    private fun certificateFiles(name: String) = CertificateFiles(Files.createDirectory(directory.resolve(name)))

    @Nested
    inner class `a TLS link` {
        @Test
        fun `carries large frames between routers that trust each other`() =
            runPeerTest {
                val (filesOne, filesTwo) = certificateFiles("one") to certificateFiles("two")
                val stores = listOf(filesOne.generate("one"), filesTwo.generate("two")).toTypedArray()
                listOf(filesOne, filesTwo).forEach { it.trust(*stores) }
                val (one, _) = start(identity("one"), tls = ReloadingTlsContext(filesOne.tlsFiles, log))
                val (_, endpointTwo) = start(identity("two"), tls = ReloadingTlsContext(filesTwo.tlsFiles, log))
                one.setPeers(listOf(endpointTwo), emptySet())
                val payload = ByteArray(300_000) { (it % 251).toByte() }

                val reply = one.call(endpointTwo.routerId, echoChannel, payload, 60_000)

                assertContentEquals(payload, assertIs<PeerReply.Received>(reply).payload)
            }

        @Test
        fun `is not opened with a router whose certificate is not trusted, although it knows the secret`() =
            runPeerTest {
                val (filesOne, filesTwo) = certificateFiles("one") to certificateFiles("two")
                val (certificateOne, certificateTwo) = filesOne.generate("one") to filesTwo.generate("two")
                filesOne.trust(certificateOne, certificateTwo)
                filesTwo.trust(certificateTwo)
                val (one, _) = start(identity("one"), tls = ReloadingTlsContext(filesOne.tlsFiles, log))
                val (_, endpointTwo) = start(identity("two"), tls = ReloadingTlsContext(filesTwo.tlsFiles, log))
                one.setPeers(listOf(endpointTwo), emptySet())

                assertEquals(PeerReply.NotDelivered, one.callEcho(endpointTwo))
            }

        @Test
        fun `uses replaced trusted certificates for new connections without a restart`() =
            runPeerTest {
                val (filesOne, filesTwo) = certificateFiles("one") to certificateFiles("two")
                val (certificateOne, certificateTwo) = filesOne.generate("one") to filesTwo.generate("two")
                filesOne.trust(certificateOne)
                filesTwo.trust(certificateOne, certificateTwo)
                val (one, _) = start(identity("one"), tls = ReloadingTlsContext(filesOne.tlsFiles, log))
                val (_, endpointTwo) = start(identity("two"), tls = ReloadingTlsContext(filesTwo.tlsFiles, log))
                one.setPeers(listOf(endpointTwo), emptySet())
                val replyBeforeReplacement = one.callEcho(endpointTwo)

                filesOne.trust(certificateOne, certificateTwo)

                assertEquals(PeerReply.NotDelivered, replyBeforeReplacement)
                assertIs<PeerReply.Received>(one.callEcho(endpointTwo))
            }
    }
}
