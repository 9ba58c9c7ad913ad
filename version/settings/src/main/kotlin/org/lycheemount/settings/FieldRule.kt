package org.lycheemount.settings

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull
import java.net.URI
import java.net.URISyntaxException

/** Validation rule for one field of the settings. */
internal sealed class FieldRule(
    val isRequired: Boolean,
    val accepted: String,
) {
    abstract fun accepts(value: JsonElement): Boolean

    /** A whole number within [range]. */
    class Integer(
        private val range: LongRange,
        isRequired: Boolean = false,
    ) : FieldRule(isRequired, "${range.first} to ${range.last}") {
        override fun accepts(value: JsonElement): Boolean = value is JsonPrimitive && !value.isString && value.longOrNull in range
    }

    /** A number within [range]. */
    class Decimal(
        private val range: ClosedFloatingPointRange<Double>,
        isRequired: Boolean = false,
    ) : FieldRule(isRequired, "${range.start} to ${range.endInclusive}") {
        override fun accepts(value: JsonElement): Boolean =
            value is JsonPrimitive && !value.isString && value.doubleOrNull?.let { it in range } == true
    }

    /** True or false. */
    class Flag(
        isRequired: Boolean = false,
    ) : FieldRule(isRequired, "true or false") {
        override fun accepts(value: JsonElement): Boolean = value is JsonPrimitive && !value.isString && value.booleanOrNull != null
    }

    /** Text that matches [pattern]. */
    class Text(
        private val pattern: Regex,
        accepted: String,
        isRequired: Boolean = true,
    ) : FieldRule(isRequired, accepted) {
        override fun accepts(value: JsonElement): Boolean = value is JsonPrimitive && value.isString && pattern.matches(value.content)
    }

    /** An absolute URL. */
    class Url : FieldRule(isRequired = true, accepted = "an absolute http or https URL") {
        override fun accepts(value: JsonElement): Boolean = value is JsonPrimitive && value.isString && isUrl(value.content)

        private fun isUrl(text: String): Boolean =
            try {
                URI(text).let { it.scheme in setOf("http", "https") && it.host != null }
            } catch (exception: URISyntaxException) {
                false
            }
    }

    /** An object with the fields of [rules]. */
    class Object(
        val rules: Map<String, FieldRule>,
        isRequired: Boolean = true,
    ) : FieldRule(isRequired, "an object") {
        override fun accepts(value: JsonElement): Boolean = value is JsonObject
    }

    /** A list of up to [max] objects with the fields of [rules]. */
    class ObjectList(
        val rules: Map<String, FieldRule>,
        private val max: Int,
    ) : FieldRule(isRequired = false, "a list of up to $max objects") {
        override fun accepts(value: JsonElement): Boolean = value is JsonArray && value.size <= max && value.all { it is JsonObject }
    }
}

/** Returns every error in [fields], which are nested below [path]. */
internal fun findErrors(
    fields: JsonObject,
    rules: Map<String, FieldRule>,
    path: String = "",
): List<SettingsError> {
    val unknownFieldErrors =
        (fields.keys - rules.keys).map {
            SettingsError(
                path + it,
                "an unknown field",
                "one of ${rules.keys.joinToString(", ")}",
            )
        }
    return rules.flatMap { (name, rule) -> findErrors(fields[name], rule, path + name) } + unknownFieldErrors
}

private fun findErrors(
    value: JsonElement?,
    rule: FieldRule,
    path: String,
): List<SettingsError> {
    if (value == null || value is JsonNull) {
        return if (rule.isRequired) listOf(SettingsError(path, "nothing", rule.accepted)) else emptyList()
    }
    if (!rule.accepts(value)) return listOf(SettingsError(path, value.toString(), rule.accepted))
    return when (rule) {
        is FieldRule.Object -> findErrors(value as JsonObject, rule.rules, "$path.")
        is FieldRule.ObjectList ->
            (value as JsonArray).flatMapIndexed { index, element -> findErrors(element as JsonObject, rule.rules, "$path[$index].") }
        else -> emptyList()
    }
}
