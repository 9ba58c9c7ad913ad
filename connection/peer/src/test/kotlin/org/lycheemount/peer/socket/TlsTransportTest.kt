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

    private fun certificate(name: String) = CertificateFiles(Files.createDirectory(directory.resolve(name)))

    @Nested
    inner class `a TLS link` {
        @Test
        fun `carries large frames between routers that trust each other`() =
            runPeerTest {
                val (left, right) = certificate("one") to certificate("two")
                val stores = listOf(left.generate("one"), right.generate("two")).toTypedArray()
                listOf(left, right).forEach { it.trust(*stores) }
                val (one, _) = start(identity("one"), tls = ReloadingTlsContext(left.files, log))
                val (_, two) = start(identity("two"), tls = ReloadingTlsContext(right.files, log))
                one.setPeers(listOf(two), emptySet())
                val payload = ByteArray(300_000) { (it % 251).toByte() }

                val reply = one.call(two.routerId, echo, payload, 5_000)

                assertContentEquals(payload, assertIs<PeerReply.Received>(reply).payload)
            }

        @Test
        fun `is not opened with a router whose certificate is not trusted, although it knows the secret`() =
            runPeerTest {
                val (left, right) = certificate("one") to certificate("two")
                val (mine, theirs) = left.generate("one") to right.generate("two")
                left.trust(mine, theirs)
                right.trust(theirs)
                val (one, _) = start(identity("one"), tls = ReloadingTlsContext(left.files, log))
                val (_, two) = start(identity("two"), tls = ReloadingTlsContext(right.files, log))
                one.setPeers(listOf(two), emptySet())

                assertEquals(PeerReply.NotDelivered, one.echoOnce(two))
            }

        @Test
        fun `uses a replaced certificate for new connections without a restart`() =
            runPeerTest {
                val (left, right) = certificate("one") to certificate("two")
                val (mine, theirs) = left.generate("one") to right.generate("two")
                left.trust(mine)
                right.trust(mine, theirs)
                val (one, _) = start(identity("one"), tls = ReloadingTlsContext(left.files, log))
                val (_, two) = start(identity("two"), tls = ReloadingTlsContext(right.files, log))
                one.setPeers(listOf(two), emptySet())
                val before = one.echoOnce(two)

                left.trust(mine, theirs)

                assertEquals(PeerReply.NotDelivered, before)
                assertIs<PeerReply.Received>(one.echoOnce(two))
            }
    }
}
