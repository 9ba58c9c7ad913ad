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

/** Reads the settings in [file]; files that they name are looked up from its directory. Lists every fault that it finds. */
fun loadRouterSettings(file: Path): Result<RouterSettings, List<SettingsFault>> {
    val text = readSettings(file).getOrElse { return Err(listOf(it)) }
    val settings = parseRouterSettings(text).getOrElse { return Err(it) }
    val resolved = settings.resolveFiles(file.toAbsolutePath().parent)
    val faults = resolved.missingFiles()
    return if (faults.isEmpty()) Ok(resolved) else Err(faults)
}

/** Parses and validates settings; the files that they name are not looked at. */
fun parseRouterSettings(json: String): Result<RouterSettings, List<SettingsFault>> {
    val document = parseDocument(json).getOrElse { return Err(listOf(it)) }
    val faults = findFaults(document, routerSettingsRules)
    return if (faults.isEmpty()) checkRelations(Json.decodeFromJsonElement<RouterSettings>(document)) else Err(faults)
}

internal fun readSettings(file: Path): Result<String, SettingsFault> =
    try {
        Ok(file.readText())
    } catch (exception: IOException) {
        Err(SettingsFault("(file)", "unreadable: ${exception.message}", "a readable JSON file"))
    }

internal fun parseDocument(json: String): Result<JsonObject, SettingsFault> {
    val document =
        try {
            Json.parseToJsonElement(json) as? JsonObject
        } catch (exception: SerializationException) {
            val found =
                exception.message
                    .orEmpty()
                    .lineSequence()
                    .first()
            return Err(SettingsFault("(document)", found, "a JSON object"))
        }
    return document?.let(::Ok) ?: Err(SettingsFault("(document)", "another JSON value", "a JSON object"))
}

private fun checkRelations(settings: RouterSettings): Result<RouterSettings, List<SettingsFault>> {
    val greatest = settings.budget.outageGraceMs / 2
    if (settings.budget.flushIntervalMs < greatest) return Ok(settings)
    val found = settings.budget.flushIntervalMs.toString()
    return Err(listOf(SettingsFault("budget.flushIntervalMs", found, "below half of budget.outageGraceMs, which is $greatest")))
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

private fun RouterSettings.missingFiles(): List<SettingsFault> =
    buildList {
        add("peerSecretFile" to peerSecretFile)
        configurationFile?.let { add("configurationFile" to it) }
        for ((name, listener) in listOf("callers" to callers, "admin" to admin, "peers" to peers)) {
            val tls = listener.tls ?: continue
            add("$name.tls.certificateFile" to tls.certificateFile)
            add("$name.tls.privateKeyFile" to tls.privateKeyFile)
            add("$name.tls.trustedCertificatesFile" to tls.trustedCertificatesFile)
        }
    }.filterNot { (_, file) -> Files.isReadable(Path.of(file)) }.map { (field, file) -> SettingsFault(field, file, "a readable file") }

internal val nameRule = FieldRule.Text(Regex("[A-Za-z0-9_-]{1,64}"), "1 to 64 letters, digits, - and _")
private val fileName = FieldRule.Text(Regex(".{1,4096}"), "the name of a readable file")

private val listener =
    FieldRule.Section(
        mapOf(
            "host" to FieldRule.Text(Regex("[0-9A-Fa-f:.]{2,45}"), "an IP address"),
            "port" to FieldRule.Number(0L..65_535L, required = true),
            "tls" to
                FieldRule.Section(
                    mapOf("certificateFile" to fileName, "privateKeyFile" to fileName, "trustedCertificatesFile" to fileName),
                    required = false,
                ),
        ),
    )

private val routerSettingsRules: Map<String, FieldRule> =
    mapOf(
        "routerId" to nameRule,
        "vmId" to nameRule,
        "regionId" to nameRule,
        "zoneId" to nameRule,
        "callers" to listener,
        "admin" to listener,
        "peers" to listener,
        "platform" to
            FieldRule.Section(
                mapOf(
                    "tableUrl" to FieldRule.Url(),
                    "objectStoreUrl" to FieldRule.Url(),
                    "vmListUrl" to FieldRule.Url(),
                    "weightStoreUrl" to FieldRule.Url(),
                    "callTimeoutMs" to FieldRule.Number(1L..600_000L),
                ),
            ),
        "peerSecretFile" to fileName,
        "configurationFile" to FieldRule.Text(Regex(".{1,4096}"), "the name of a readable file", required = false),
        "budget" to
            FieldRule.Section(
                mapOf(
                    "expectedOutageMs" to FieldRule.Number(1_000L..86_400_000L),
                    "outageGraceMs" to FieldRule.Number(15_000L..3_600_000L),
                    "flushIntervalMs" to FieldRule.Number(50L..60_000L),
                ),
                required = false,
            ),
        "requests" to
            FieldRule.Section(
                mapOf(
                    "maxBodyBytes" to FieldRule.Number(1_024L..67_108_864L),
                    "bodyTimeoutMs" to FieldRule.Number(100L..600_000L),
                    "serviceTimeoutMs" to FieldRule.Number(100L..3_600_000L),
                    "firstChunkTimeoutMs" to FieldRule.Number(100L..86_400_000L),
                    "chunkTimeoutMs" to FieldRule.Number(100L..600_000L),
                    "reservationStepTokens" to FieldRule.Number(16L..65_536L),
                    "drainNoticeMs" to FieldRule.Number(0L..600_000L),
                ),
                required = false,
            ),
        "adminKeys" to
            FieldRule.Sections(
                mapOf(
                    "name" to nameRule,
                    "role" to FieldRule.Text(Regex("read|team_admin|operator"), "read, team_admin or operator"),
                    "keySha256" to FieldRule.Text(Regex("[0-9a-f]{64}"), "lower-case hexadecimal SHA-256 of the key"),
                    "teamId" to FieldRule.Text(Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}"), "the id of a team", required = false),
                ),
                most = 256,
            ),
    )
