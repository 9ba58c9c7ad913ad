package org.lycheemount.app.ctl

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Output format. */
enum class OutputFormat {
    /** Lines of the form `path: value`, for people. */
    TEXT,

    /** The JSON object of the response, for programs. */
    JSON,
}

/** Writes results to [out] and errors to [err]. */
internal class Output(
    private val format: OutputFormat,
    private val out: Appendable,
    private val err: Appendable,
) {
    private val pretty = Json { prettyPrint = true }

    fun result(body: JsonObject) {
        out.appendLine(if (format == OutputFormat.JSON) pretty.encodeToString(JsonObject.serializer(), body) else formatText(body))
    }

    /** Writes [lines] as text, or as a JSON array in the field [name]. */
    fun lines(
        name: String,
        lines: List<String>,
    ) {
        if (format ==
            OutputFormat.JSON
        ) {
            result(JsonObject(mapOf(name to JsonArray(lines.map(::JsonPrimitive)))))
        } else {
            lines.forEach(out::appendLine)
        }
    }

    fun error(body: JsonObject) {
        if (format == OutputFormat.JSON) result(body) else err.appendLine(formatText(body))
    }

    private fun formatText(body: JsonObject): String = lines("", body).joinToString("\n").ifEmpty { "nothing" }

    private fun lines(
        path: String,
        element: JsonElement,
    ): List<String> =
        when (element) {
            is JsonObject -> element.flatMap { (name, value) -> lines(if (path.isEmpty()) name else "$path.$name", value) }
            is JsonArray -> element.flatMapIndexed { index, value -> lines("$path[$index]", value) }
            is JsonPrimitive -> listOf("$path: ${element.content}")
        }
}
