package org.lycheemount.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.decodeFromJsonElement
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import java.nio.file.Path

/**
 * Settings of a router that passes requests through according to an operator's routes, read from a JSON file at startup.
 *
 * @property callersAddress IP address and port of the listener for callers' requests.
 * @property readinessAddress IP address and port of the listener for readiness checks.
 * @property metricsAddress IP address and port of the listener for metrics, under `/metrics`.
 * @property peersAddress IP address and port of the listener for links between routers.
 * @property storeAddress IP address and port of the platform's store.
 * @property isFirstStart whether the whole fleet starts for the first time. A restarted router skips its warm-up to be available sooner.
 * @property drainGraceS time between SIGTERM and the exit of the process.
 * @property limits limits on what callers and servers can make the process hold.
 */
@Serializable
data class GatewaySettings(
    val routerId: RouterId,
    val vmId: VmId,
    val regionId: RegionId,
    val zoneId: ZoneId,
    val callersAddress: String,
    val readinessAddress: String,
    val metricsAddress: String,
    val peersAddress: String,
    val storeAddress: String,
    val drainGraceS: Double,
    val isFirstStart: Boolean = false,
    val retryBudget: RetryBudgetSettings,
    val limits: ProcessLimitSettings = ProcessLimitSettings(),
    val coldLimit: ColdLimitSettings = ColdLimitSettings(),
)

/**
 * Limit on the retries that all routers together may send to a service.
 *
 * @property ratio ratio of retries to requests in a window.
 * @property slack retries allowed in a window in addition to that ratio.
 */
@Serializable
data class RetryBudgetSettings(
    val ratio: Double,
    val slack: Double,
    val windowS: Double,
)

/**
 * Bound on the requests that a cold server gets from all routers in any one second, relative to the rate of its service.
 *
 * @property overage factor of that rate.
 * @property slack requests in addition.
 */
@Serializable
data class ColdLimitSettings(
    val overage: Double = 1.0,
    val slack: Double = 0.0,
)

/**
 * Reads and validates the settings in [file] and [environment]. Returns every error found.
 *
 * @param environment variables of the process; see [parseGatewaySettings].
 */
fun loadGatewaySettings(
    file: Path,
    environment: Map<String, String> = System.getenv(),
): Result<GatewaySettings, List<SettingsError>> = parseGatewaySettings(readSettings(file).getOrElse { return Err(listOf(it)) }, environment)

/**
 * Parses and validates the settings of a gateway.
 *
 * @param environment `LYCHEEMOUNT_COLD_OVERAGE` and `LYCHEEMOUNT_COLD_SLACK` replace the properties of [GatewaySettings.coldLimit] unless
 *   they are blank. Deployments without cold servers leave them blank, which a template of a JSON file cannot express.
 */
fun parseGatewaySettings(
    json: String,
    environment: Map<String, String> = emptyMap(),
): Result<GatewaySettings, List<SettingsError>> {
    val document = parseDocument(json).getOrElse { return Err(listOf(it)) }.withEnvironment(environment)
    val errors = findErrors(document, gatewaySettingsRules)
    return if (errors.isEmpty()) Ok(Json.decodeFromJsonElement<GatewaySettings>(document)) else Err(errors)
}

private fun JsonObject.withEnvironment(environment: Map<String, String>): JsonObject {
    val fields =
        COLD_LIMIT_VARIABLES.mapNotNull { (field, variable) ->
            val text = environment[variable]?.takeIf { it.isNotBlank() } ?: return@mapNotNull null
            // Text that is no number is kept as it is, so that validation names the field.
            field to (text.trim().toDoubleOrNull()?.let(::JsonPrimitive) ?: JsonPrimitive(text))
        }
    if (fields.isEmpty()) return this
    return JsonObject(this + (COLD_LIMIT to JsonObject((this[COLD_LIMIT] as? JsonObject).orEmpty() + fields)))
}

private const val COLD_LIMIT = "coldLimit"
private val COLD_LIMIT_VARIABLES = mapOf("overage" to "LYCHEEMOUNT_COLD_OVERAGE", "slack" to "LYCHEEMOUNT_COLD_SLACK")

private val addressRule = FieldRule.Text(Regex("[0-9.]{7,15}:[0-9]{1,5}"), "an IPv4 address and a port, such as 10.0.0.1:8080")

private val gatewaySettingsRules: Map<String, FieldRule> =
    mapOf(
        "routerId" to nameRule,
        "vmId" to FieldRule.Text(Regex("[A-Za-z0-9_.-]{1,128}"), "1 to 128 letters, digits, -, . and _"),
        "regionId" to nameRule,
        "zoneId" to nameRule,
        "callersAddress" to addressRule,
        "readinessAddress" to addressRule,
        "metricsAddress" to addressRule,
        "peersAddress" to addressRule,
        "storeAddress" to addressRule,
        "isFirstStart" to FieldRule.Flag(),
        "drainGraceS" to FieldRule.Decimal(0.0..3_600.0, isRequired = true),
        "limits" to processLimitRule,
        "retryBudget" to
            FieldRule.Object(
                mapOf(
                    "ratio" to FieldRule.Decimal(0.0..1.0, isRequired = true),
                    "slack" to FieldRule.Decimal(0.0..1_000_000.0, isRequired = true),
                    "windowS" to FieldRule.Decimal(0.1..3_600.0, isRequired = true),
                ),
            ),
        COLD_LIMIT to
            FieldRule.Object(
                mapOf("overage" to FieldRule.Decimal(0.0..1_000.0), "slack" to FieldRule.Decimal(0.0..1_000_000.0)),
                isRequired = false,
            ),
    )
