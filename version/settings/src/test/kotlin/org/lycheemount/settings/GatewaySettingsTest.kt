package org.lycheemount.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Nested
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.test.Test
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
    inner class `the template of the settings` {
        private val template = Path.of("../../deploy/settings.json.template").readText()

        /** Renders the sections and values of the template as the platform does; values that are not in [bounds] have one value. */
        private fun render(bounds: Map<String, String>): String {
            val withSections =
                template.replace(Regex("""\{\{([#^])([a-z_.0-9]+)}}(.*?)\{\{/\2}}""")) { match ->
                    val (kind, name, content) = match.destructured
                    if ((kind == "#") == (name in bounds)) content else ""
                }
            return withSections.replace(Regex("""\{\{([a-z_.0-9]+)}}""")) { (bounds + OTHER_VALUES)[it.groupValues[1]].orEmpty() }
        }

        @Test
        fun `is valid with and without bounds for cold servers, guarding against routers that do not start on the other deployments`() {
            val overage = mapOf("bounds.cold_overage" to "1.5")
            val slack = mapOf("bounds.cold_slack" to "5")

            val rendered = listOf(emptyMap(), overage, slack, overage + slack).map { parseGatewaySettings(render(it)) }

            assertEquals(
                listOf(ColdLimitSettings(), ColdLimitSettings(1.5, 0.0), ColdLimitSettings(1.0, 5.0), ColdLimitSettings(1.5, 5.0)),
                rendered.map { assertNotNull(it.get(), "${it.getError()}").coldLimit },
            )
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
        private val OTHER_VALUES =
            mapOf(
                "node_name" to "r1",
                "ip" to "10.1.0.40",
                "region" to "region",
                "zone" to "z",
                "listen.front" to "10.1.0.40:8227",
                "listen.readiness" to "10.1.0.40:8220",
                "internal_ports.0" to "7340",
                "provider.address" to "10.200.1.7:8223",
                "bootstrap" to "true",
                "bounds.grace_s" to "8",
                "bounds.retry_budget_ratio" to "0.2",
                "bounds.budget_slack" to "54",
                "bounds.budget_window_s" to "10",
            )
    }
}
