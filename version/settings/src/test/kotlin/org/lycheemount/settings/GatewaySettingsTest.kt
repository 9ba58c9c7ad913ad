package org.lycheemount.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class GatewaySettingsTest {
    private fun json(
        callers: String = "10.1.0.40:8227",
        ratio: String = "0.2",
    ) = """
        {"routerId": "frontend-fraser-1", "vmId": "frontend-fraser-1-10.1.0.40", "regionId": "bc-west", "zoneId": "fraser",
         "callersAddress": "$callers", "readinessAddress": "10.1.0.40:8220", "metricsAddress": "10.1.0.40:9464",
         "peersAddress": "10.1.0.40:7340",
         "storeAddress": "10.200.1.7:8223", "drainGraceS": 8, "retryBudget": {"ratio": $ratio, "slack": 54, "windowS": 10}}
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
        fun `are rejected if they are not JSON, as in a template that was not rendered`() {
            assertEquals(listOf("(document)"), parseGatewaySettings("{{node_name}}").getError()?.map { it.field })
        }
    }
}
