package org.lycheemount.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Nested
import kotlin.io.path.createTempDirectory
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals

class SettingsLoaderTest {
    @Nested
    inner class `settings with several errors` {
        @Test
        fun `are rejected with an error for each invalid field and its accepted range`() {
            val json = settingsJson(port = "70000", zone = "", extra = """, "budget": {"flushIntervalMs": "soon"}, "colour": 1""")

            val errors = parseRouterSettings(json).getError().orEmpty().associateBy { it.field }

            assertEquals(setOf("callers.port", "zoneId", "budget.flushIntervalMs", "colour"), errors.keys)
            assertEquals("0 to 65535", errors.getValue("callers.port").accepted)
            assertEquals("50 to 60000", errors.getValue("budget.flushIntervalMs").accepted)
        }

        @Test
        fun `report missing fields in addition to invalid ones`() {
            val errors = parseRouterSettings("""{"routerId": "r1", "peers": 7}""").getError().orEmpty()

            assertEquals("nothing", errors.single { it.field == "vmId" }.found)
            assertEquals("7", errors.single { it.field == "peers" }.found)
        }

        @Test
        fun `report a flush interval that is too long for the outage grace period`() {
            val json = settingsJson(extra = """, "budget": {"flushIntervalMs": 20000, "outageGraceMs": 30000}""")

            assertEquals(listOf("budget.flushIntervalMs"), parseRouterSettings(json).getError()?.map { it.field })
        }
    }

    @Nested
    inner class `a settings file` {
        @Test
        fun `that contains an administration key in clear text is rejected`() {
            val json = settingsJson(extra = """, "adminKeys": [{"name": "ops", "role": "operator", "keySha256": "secret"}]""")

            assertEquals(listOf("adminKeys[0].keySha256"), parseRouterSettings(json).getError()?.map { it.field })
        }

        @Test
        fun `that names a missing file is rejected before the file is needed`() {
            val file = createTempDirectory().resolve("router.json").apply { writeText(settingsJson()) }

            assertEquals(listOf("peerSecretFile"), loadRouterSettings(file).getError()?.map { it.field })
        }

        @Test
        fun `resolves relative file names against its own directory`() {
            val directory = createTempDirectory()
            directory.resolve("peer.secret").writeText("secret")
            val file = directory.resolve("router.json").apply { writeText(settingsJson()) }

            val settings = loadRouterSettings(file).get()

            assertEquals(directory.resolve("peer.secret").toString(), settings?.peerSecretFile)
        }
    }

    private fun settingsJson(
        port: String = "0",
        zone: String = "fraser",
        extra: String = "",
    ) = """
        {"routerId": "r1", "vmId": "vm-1", "regionId": "bc-west", "zoneId": "$zone",
         "callers": {"host": "127.0.0.1", "port": $port}, "admin": {"host": "127.0.0.1", "port": 0},
         "peers": {"host": "127.0.0.1", "port": 0}, "peerSecretFile": "peer.secret",
         "platform": {"tableUrl": "http://127.0.0.1:1/table", "objectStoreUrl": "http://127.0.0.1:1/objects",
           "vmListUrl": "http://127.0.0.1:1/vms", "weightStoreUrl": "http://127.0.0.1:1/weights"}$extra}
        """.trimIndent()
}
