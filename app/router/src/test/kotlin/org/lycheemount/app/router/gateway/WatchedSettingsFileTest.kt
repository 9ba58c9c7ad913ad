package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.get
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import org.lycheemount.settings.GatewaySettings
import org.lycheemount.settings.loadGatewaySettings
import org.lycheemount.testing.FakeEventLog
import sun.misc.Signal
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class WatchedSettingsFileTest {
    @TempDir
    lateinit var directory: Path

    private val log = FakeEventLog()
    private val changes = LinkedBlockingQueue<GatewaySettings>()
    private val file get() = directory.resolve("settings.json")

    private fun write(ratio: String) =
        Files.writeString(
            file,
            """
            {"routerId": "r", "vmId": "v", "regionId": "g", "zoneId": "z", "callersAddress": "127.0.0.1:1",
             "readinessAddress": "127.0.0.1:2", "metricsAddress": "127.0.0.1:3", "peersAddress": "127.0.0.1:4",
             "storeAddress": "127.0.0.1:5", "drainGraceS": 8, "retryBudget": {"ratio": $ratio, "slack": 54, "windowS": 10}}
            """.trimIndent(),
        )

    private fun watchFile() = WatchedSettingsFile(file, assertNotNull(loadGatewaySettings(file).get()), log, changes::add)

    @Nested
    inner class `a changed settings file` {
        @Test
        fun `is applied once`() {
            write("0.2")
            val settings = watchFile()
            settings.reload()
            write("0.1")
            repeat(2) { settings.reload() }

            assertEquals(listOf(0.1), changes.map { it.retryBudget.ratio })
        }

        @Test
        fun `that is invalid is logged once with its field and leaves the active settings unchanged`() {
            write("0.2")
            val settings = watchFile()
            write("7")
            repeat(2) { settings.reload() }

            assertEquals(0, changes.size)
            assertEquals(listOf("retryBudget.ratio"), log.events.filter { it.first == "settings_refused" }.map { it.second["field"] })
        }
    }

    @Nested
    inner class `a hangup signal` {
        @Test
        fun `reloads the settings and does not terminate the process`() {
            write("0.2")
            watchFile().reloadOnHangup()
            write("0.3")

            Signal.raise(Signal("HUP"))

            assertEquals(0.3, assertNotNull(changes.poll(10, TimeUnit.SECONDS)).retryBudget.ratio)
        }
    }
}
