package org.lycheemount.standin.check

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.standin.EnginesSettings
import org.lycheemount.standin.PlatformStandInSettings
import org.lycheemount.standin.ServicesSettings
import org.lycheemount.standin.standInJson
import java.io.File

/** Settings files of one local deployment. */
internal class Deployment(
    directory: File,
) {
    val platform = read(directory, "platform.json", PlatformStandInSettings.serializer())
    val engines = read(directory, "engines.json", EnginesSettings.serializer())
    val services = read(directory, "services.json", ServicesSettings.serializer())
    val configuration = parseConfiguration(directory.resolve("configuration.json").readText())

    /** Base URLs of the routers' caller interfaces, sorted by settings file name. */
    val routerUrls: List<String> =
        directory
            .resolve("routers")
            .listFiles { file -> file.name.endsWith(".json") }
            .orEmpty()
            .sorted()
            .map { callersUrl(standInJson.decodeFromString(JsonObject.serializer(), it.readText())) }

    val platformUrl = "http://${platform.host}:${platform.port}"

    /** Bearer key of [team] in the shipped deployments, which listen on loopback only. */
    fun keyOf(team: String): String = "quickstart-$team"

    private fun callersUrl(settings: JsonObject): String {
        val callers = settings.getValue("callers").jsonObject
        return "http://${callers.getValue("host").jsonPrimitive.content}:${callers.getValue("port").jsonPrimitive.content}"
    }

    private fun <T> read(
        directory: File,
        name: String,
        deserializer: kotlinx.serialization.DeserializationStrategy<T>,
    ): T = standInJson.decodeFromString(deserializer, directory.resolve(name).readText())
}

// The file also contains budgets, which are not part of a snapshot.
private val configurationJson = Json { ignoreUnknownKeys = true }

/** Parses the configuration items of a `lycheectl apply` file. */
internal fun parseConfiguration(text: String): ConfigurationSnapshot = configurationJson.decodeFromString(text)
