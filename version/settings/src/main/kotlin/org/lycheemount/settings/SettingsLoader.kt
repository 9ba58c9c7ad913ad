package org.lycheemount.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText

/** Reads the settings in [file]. Relative file names are resolved against its directory. Returns every error found. */
fun loadRouterSettings(file: Path): Result<RouterSettings, List<SettingsError>> {
    val text = readSettings(file).getOrElse { return Err(listOf(it)) }
    val settings = parseRouterSettings(text).getOrElse { return Err(it) }
    val resolved = settings.resolveFiles(file.toAbsolutePath().parent)
    val errors = resolved.missingFileErrors()
    return if (errors.isEmpty()) Ok(resolved) else Err(errors)
}

/** Parses and validates settings without checking the files that they name. */
fun parseRouterSettings(json: String): Result<RouterSettings, List<SettingsError>> {
    val document = parseDocument(json).getOrElse { return Err(listOf(it)) }
    val errors = findErrors(document, routerSettingsRules)
    return if (errors.isEmpty()) checkFieldRelations(Json.decodeFromJsonElement<RouterSettings>(document)) else Err(errors)
}

internal fun readSettings(file: Path): Result<String, SettingsError> =
    try {
        Ok(file.readText())
    } catch (exception: IOException) {
        Err(SettingsError("(file)", "unreadable: ${exception.message}", "a readable JSON file"))
    }

internal fun parseDocument(json: String): Result<JsonObject, SettingsError> {
    val document =
        try {
            Json.parseToJsonElement(json) as? JsonObject
        } catch (exception: SerializationException) {
            val found =
                exception.message
                    .orEmpty()
                    .lineSequence()
                    .first()
            return Err(SettingsError("(document)", found, "a JSON object"))
        }
    return document?.let(::Ok) ?: Err(SettingsError("(document)", "another JSON value", "a JSON object"))
}

private fun checkFieldRelations(settings: RouterSettings): Result<RouterSettings, List<SettingsError>> {
    val maxFlushIntervalMs = settings.budget.outageGraceMs / 2
    if (settings.budget.flushIntervalMs < maxFlushIntervalMs) return Ok(settings)
    val found = settings.budget.flushIntervalMs.toString()
    return Err(listOf(SettingsError("budget.flushIntervalMs", found, "below half of budget.outageGraceMs, which is $maxFlushIntervalMs")))
}

private fun RouterSettings.resolveFiles(directory: Path): RouterSettings =
    copy(
        callers = callers.resolveFiles(directory),
        admin = admin.resolveFiles(directory),
        peers = peers.resolveFiles(directory),
        peerSecretFile = directory.resolve(peerSecretFile).toString(),
        configurationFile = configurationFile?.let { directory.resolve(it).toString() },
    )

private fun ListenerSettings.resolveFiles(directory: Path): ListenerSettings =
    copy(
        tls =
            tls?.let {
                TlsSettings(
                    directory.resolve(it.certificateFile).toString(),
                    directory.resolve(it.privateKeyFile).toString(),
                    directory.resolve(it.trustedCertificatesFile).toString(),
                )
            },
    )

private fun RouterSettings.missingFileErrors(): List<SettingsError> =
    buildList {
        add("peerSecretFile" to peerSecretFile)
        configurationFile?.let { add("configurationFile" to it) }
        for ((name, listener) in listOf("callers" to callers, "admin" to admin, "peers" to peers)) {
            val tls = listener.tls ?: continue
            add("$name.tls.certificateFile" to tls.certificateFile)
            add("$name.tls.privateKeyFile" to tls.privateKeyFile)
            add("$name.tls.trustedCertificatesFile" to tls.trustedCertificatesFile)
        }
    }.filterNot { (_, file) -> Files.isReadable(Path.of(file)) }.map { (field, file) -> SettingsError(field, file, "a readable file") }

internal val nameRule = FieldRule.Text(Regex("[A-Za-z0-9_-]{1,64}"), "1 to 64 letters, digits, - and _")
private val fileNameRule = FieldRule.Text(Regex(".{1,4096}"), "the name of a readable file")

private val listenerRule =
    FieldRule.Object(
        mapOf(
            "host" to FieldRule.Text(Regex("[0-9A-Fa-f:.]{2,45}"), "an IP address"),
            "port" to FieldRule.Integer(0L..65_535L, isRequired = true),
            "tls" to
                FieldRule.Object(
                    mapOf("certificateFile" to fileNameRule, "privateKeyFile" to fileNameRule, "trustedCertificatesFile" to fileNameRule),
                    isRequired = false,
                ),
        ),
    )

private val routerSettingsRules: Map<String, FieldRule> =
    mapOf(
        "routerId" to nameRule,
        "vmId" to nameRule,
        "regionId" to nameRule,
        "zoneId" to nameRule,
        "callers" to listenerRule,
        "admin" to listenerRule,
        "peers" to listenerRule,
        "platform" to
            FieldRule.Object(
                mapOf(
                    "tableUrl" to FieldRule.Url(),
                    "objectStoreUrl" to FieldRule.Url(),
                    "vmListUrl" to FieldRule.Url(),
                    "weightStoreUrl" to FieldRule.Url(),
                    "callTimeoutMs" to FieldRule.Integer(1L..600_000L),
                ),
            ),
        "peerSecretFile" to fileNameRule,
        "configurationFile" to FieldRule.Text(Regex(".{1,4096}"), "the name of a readable file", isRequired = false),
        "budget" to
            FieldRule.Object(
                mapOf(
                    "expectedOutageMs" to FieldRule.Integer(1_000L..86_400_000L),
                    "outageGraceMs" to FieldRule.Integer(15_000L..3_600_000L),
                    "flushIntervalMs" to FieldRule.Integer(50L..60_000L),
                ),
                isRequired = false,
            ),
        "requests" to
            FieldRule.Object(
                mapOf(
                    "maxBodyBytes" to FieldRule.Integer(1_024L..67_108_864L),
                    "bodyTimeoutMs" to FieldRule.Integer(100L..600_000L),
                    "serviceTimeoutMs" to FieldRule.Integer(100L..3_600_000L),
                    "firstChunkTimeoutMs" to FieldRule.Integer(100L..86_400_000L),
                    "chunkTimeoutMs" to FieldRule.Integer(100L..600_000L),
                    "reservationStepTokens" to FieldRule.Integer(16L..65_536L),
                    "drainNoticeMs" to FieldRule.Integer(0L..600_000L),
                ),
                isRequired = false,
            ),
        "limits" to processLimitRule,
        "adminKeys" to
            FieldRule.ObjectList(
                mapOf(
                    "name" to nameRule,
                    "role" to FieldRule.Text(Regex("read|team_admin|operator"), "read, team_admin or operator"),
                    "keySha256" to FieldRule.Text(Regex("[0-9a-f]{64}"), "lower-case hexadecimal SHA-256 of the key"),
                    "teamId" to FieldRule.Text(Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}"), "the id of a team", isRequired = false),
                ),
                max = 256,
            ),
    )
