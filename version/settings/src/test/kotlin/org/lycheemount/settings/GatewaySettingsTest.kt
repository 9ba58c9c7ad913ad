package org.lycheemount.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Nested
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class GatewaySettingsTest {
    private fun json(
        callers: String = "10.1.0.40:8227",
        ratio: String = "0.2",
        otherFields: String = "",
    ) = """
        {"routerId": "frontend-fraser-1", "vmId": "frontend-fraser-1-10.1.0.40", "regionId": "bc-west", "zoneId": "fraser",
         "callersAddress": "$callers", "readinessAddress": "10.1.0.40:8220", "metricsAddress": "10.1.0.40:9464",
         "peersAddress": "10.1.0.40:7340",
         "storeAddress": "10.200.1.7:8223", "drainGraceS": 8, "retryBudget": {"ratio": $ratio, "slack": 54, "windowS": 10}$otherFields}
        """.trimIndent()

    @Nested
    inner class `settings as the platform renders them` {
        @Test
        fun `are accepted with whole and fractional numbers`() {
            val settings = assertNotNull(parseGatewaySettings(json()).get())

            assertEquals(8.0, settings.drainGraceS)
            assertEquals(0.2, settings.retryBudget.ratio)
        }
    }

    @Nested
    inner class `the bound of cold servers in the environment` {
        @Test
        fun `may be missing or blank, guarding against routers that do not start on deployments without cold servers`() {
            val overage = mapOf(OVERAGE to "1.5")
            val slack = mapOf(SLACK to "5")
            val blank = mapOf(OVERAGE to "", SLACK to "")

            val parsed = listOf(emptyMap(), blank, overage, slack, overage + slack).map { parseGatewaySettings(json(), it) }

            assertEquals(
                listOf(
                    ColdLimitSettings(),
                    ColdLimitSettings(),
                    ColdLimitSettings(1.5, 0.0),
                    ColdLimitSettings(1.0, 5.0),
                    ColdLimitSettings(1.5, 5.0),
                ),
                parsed.map { assertNotNull(it.get(), "${it.getError()}").coldLimit },
            )
        }

        @Test
        fun `goes before the file, and is rejected if it is no number or out of range`() {
            val inFile = json(otherFields = """, "coldLimit": {"overage": 2, "slack": 3}""")

            assertEquals(ColdLimitSettings(1.5, 3.0), parseGatewaySettings(inFile, mapOf(OVERAGE to "1.5")).get()?.coldLimit)
            for (text in listOf("-1", "many", "{{bounds.cold_overage}}", "NaN")) {
                val errors = parseGatewaySettings(inFile, mapOf(OVERAGE to text)).getError().orEmpty()

                assertEquals(listOf("coldLimit.overage"), errors.map { it.field }, text)
            }
        }

        @Test
        fun `is passed by the deploy file, guarding against a bound that never reaches a router`() {
            val environmentLine =
                Path
                    .of("../../deploy/system.toml")
                    .readText()
                    .lines()
                    .single { it.startsWith("env = ") }

            assertContains(environmentLine, "$OVERAGE = \"{{bounds.cold_overage}}\"")
            assertContains(environmentLine, "$SLACK = \"{{bounds.cold_slack}}\"")
        }
    }

    @Nested
    inner class `invalid settings` {
        @Test
        fun `are rejected if a limit is out of its range`() {
            val limits = """{"memoryShare": 0.9, "maxConnections": 1, "receiveBufferBytes": 0, "maxEventBytes": 1}"""
            val withLimits = json().replace("\"retryBudget\":", "\"limits\": $limits, \"retryBudget\":")
            val errors = parseGatewaySettings(withLimits).getError().orEmpty()

            assertEquals(
                setOf("limits.memoryShare", "limits.maxConnections", "limits.receiveBufferBytes", "limits.maxEventBytes"),
                errors.mapTo(HashSet()) { it.field },
            )
        }

        @Test
        fun `are rejected with an error for each invalid field and its accepted range`() {
            val errors = parseGatewaySettings(json(callers = "fraser", ratio = "7")).getError().orEmpty().associateBy { it.field }

            assertEquals(setOf("callersAddress", "retryBudget.ratio"), errors.keys)
            assertEquals("0.0 to 1.0", errors.getValue("retryBudget.ratio").accepted)
        }

        @Test
        fun `are rejected with a bound for cold servers that is out of range`() {
            val errors = parseGatewaySettings(json(otherFields = """, "coldLimit": {"overage": -1}""")).getError().orEmpty()

            assertEquals(listOf("coldLimit.overage"), errors.map { it.field })
        }

        @Test
        fun `are rejected if they are not JSON, as in a template that was not rendered`() {
            assertEquals(listOf("(document)"), parseGatewaySettings("{{node_name}}").getError()?.map { it.field })
        }
    }

    private companion object {
        private const val OVERAGE = "LYCHEEMOUNT_COLD_OVERAGE"
        private const val SLACK = "LYCHEEMOUNT_COLD_SLACK"
    }
}
