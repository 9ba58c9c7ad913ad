package org.lycheemount.app.router

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import org.lycheemount.app.router.gateway.GatewayFixture
import org.lycheemount.app.router.gateway.socketAddressOf
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.adapter.testing.freeListenerAddress
import org.lycheemount.platform.adapter.testing.freeListenerPort
import org.lycheemount.settings.GatewaySettings
import org.lycheemount.settings.ListenerSettings
import org.lycheemount.settings.PlatformSettings
import org.lycheemount.settings.RouterSettings
import org.lycheemount.testing.LISTENER_HOST
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Starts processes while another listener has one of their addresses. */
class ListenerInUseTest {
    @TempDir
    lateinit var directory: Path

    @Nested
    inner class `a gateway` {
        private val fixture = GatewayFixture()
        private val settings = fixture.settings(drainGraceS = 1.0)

        @AfterEach
        fun close() = fixture.close()

        @TestFactory
        fun `whose listener is in use ends with an error, guarding against routers that run on without it`(): List<DynamicTest> {
            val settingsFile = directory.resolve("gateway.json")
            settingsFile.writeText(Json.encodeToString(GatewaySettings.serializer(), settings))
            return settings.run {
                listOf(
                    dynamicTest("callers") { assertEndsWithError(callersAddress, "gateway", "$settingsFile") },
                    dynamicTest("peers") { assertEndsWithError(peersAddress, "gateway", "$settingsFile") },
                    dynamicTest("readiness") { assertEndsWithError(readinessAddress, "gateway", "$settingsFile") },
                    dynamicTest("metrics") { assertEndsWithError(metricsAddress, "gateway", "$settingsFile") },
                )
            }
        }
    }

    @Nested
    inner class `a router of the product` {
        @TestFactory
        fun `whose listener is in use ends with an error, guarding against routers that run on without it`(): List<DynamicTest> {
            val settings = routerSettings()
            val settingsFile = directory.resolve("router.json")
            settingsFile.writeText(Json.encodeToString(RouterSettings.serializer(), settings))
            return settings.run {
                listOf(
                    dynamicTest("callers") { assertEndsWithError(callers.address(), "$settingsFile") },
                    dynamicTest("peers") { assertEndsWithError(peers.address(), "$settingsFile") },
                    dynamicTest("admin") { assertEndsWithError(admin.address(), "$settingsFile") },
                )
            }
        }

        private fun ListenerSettings.address() = "$host:$port"

        /** Settings of a router whose platform cannot be reached. */
        private fun routerSettings(): RouterSettings {
            val platformUrl = "http://${freeListenerAddress()}"
            return RouterSettings(
                routerId = RouterId("r"),
                vmId = VmId("vm"),
                regionId = RegionId("region"),
                zoneId = ZoneId("zone"),
                callers = ListenerSettings(LISTENER_HOST, freeListenerPort()),
                admin = ListenerSettings(LISTENER_HOST, freeListenerPort()),
                peers = ListenerSettings(LISTENER_HOST, freeListenerPort()),
                platform = PlatformSettings(platformUrl, platformUrl, platformUrl, platformUrl),
                peerSecretFile = directory.resolve("secret").apply { writeText("a secret of the tests only") }.toString(),
            )
        }
    }

    private fun assertEndsWithError(
        usedAddress: String,
        vararg arguments: String,
    ) {
        val logFile = directory.resolve("log")
        val usedBy = ServerSocket()
        usedBy.bind(socketAddressOf(usedAddress))
        val process = startRouter(logFile, arguments.toList())
        try {
            val hasEnded = process.waitFor(END_TIMEOUT_S, TimeUnit.SECONDS)
            val log = logFile.readText()

            assertTrue(hasEnded, "the process is still running; its log:\n$log")
            assertEquals(1, process.exitValue(), log)
            val error = assertNotNull(log.lines().firstOrNull { "event=start_failed" in it }, log)
            assertTrue(usedAddress in error && "Address already in use" in error, error)
        } finally {
            process.destroyForcibly().waitFor()
            usedBy.close()
        }
    }

    private fun startRouter(
        logFile: Path,
        arguments: List<String>,
    ): Process =
        ProcessBuilder(
            listOf(System.getProperty("java.home") + "/bin/java") + JVM_OPTIONS +
                listOf("-cp", System.getProperty("java.class.path"), "org.lycheemount.app.router.RouterMainKt") + arguments,
        ).redirectErrorStream(true).redirectOutput(logFile.toFile()).start()

    private companion object {
        private const val END_TIMEOUT_S = 60L
        private val JVM_OPTIONS = listOf("-Xmx200m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
    }
}
