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

/** What one field of the settings accepts. */
internal sealed class FieldRule(
    val required: Boolean,
    val accepted: String,
) {
    abstract fun accepts(value: JsonElement): Boolean

    /** A whole number within [range]. */
    class Number(
        private val range: LongRange,
        required: Boolean = false,
    ) : FieldRule(required, "${range.first} to ${range.last}") {
        override fun accepts(value: JsonElement): Boolean = value is JsonPrimitive && !value.isString && value.longOrNull in range
    }

    /** A number within [range]. */
    class Decimal(
        private val range: ClosedFloatingPointRange<Double>,
        required: Boolean = false,
    ) : FieldRule(required, "${range.start} to ${range.endInclusive}") {
        override fun accepts(value: JsonElement): Boolean =
            value is JsonPrimitive && !value.isString && value.doubleOrNull?.let { it in range } == true
    }

    /** True or false. */
    class Flag(
        required: Boolean = false,
    ) : FieldRule(required, "true or false") {
        override fun accepts(value: JsonElement): Boolean = value is JsonPrimitive && !value.isString && value.booleanOrNull != null
    }

    /** Text that matches [pattern]. */
    class Text(
        private val pattern: Regex,
        accepted: String,
        required: Boolean = true,
    ) : FieldRule(required, accepted) {
        override fun accepts(value: JsonElement): Boolean = value is JsonPrimitive && value.isString && pattern.matches(value.content)
    }

    /** An absolute URL. */
    class Url : FieldRule(required = true, accepted = "an absolute http or https URL") {
        override fun accepts(value: JsonElement): Boolean = value is JsonPrimitive && value.isString && isUrl(value.content)

        private fun isUrl(text: String): Boolean =
            try {
                URI(text).let { it.scheme in setOf("http", "https") && it.host != null }
            } catch (exception: URISyntaxException) {
                false
            }
    }

    /** An object with the fields of [rules]. */
    class Section(
        val rules: Map<String, FieldRule>,
        required: Boolean = true,
    ) : FieldRule(required, "an object") {
        override fun accepts(value: JsonElement): Boolean = value is JsonObject
    }

    /** A list of up to [most] objects with the fields of [rules]. */
    class Sections(
        val rules: Map<String, FieldRule>,
        private val most: Int,
    ) : FieldRule(required = false, "a list of up to $most objects") {
        override fun accepts(value: JsonElement): Boolean = value is JsonArray && value.size <= most && value.all { it is JsonObject }
    }
}

/** Returns every fault of [section] below [path]. */
internal fun findFaults(
    section: JsonObject,
    rules: Map<String, FieldRule>,
    path: String = "",
): List<SettingsFault> {
    val unknown =
        (section.keys - rules.keys).map {
            SettingsFault(
                path + it,
                "an unknown field",
                "one of ${rules.keys.joinToString(", ")}",
            )
        }
    return rules.flatMap { (name, rule) -> findFaults(section[name], rule, path + name) } + unknown
}

private fun findFaults(
    value: JsonElement?,
    rule: FieldRule,
    path: String,
): List<SettingsFault> {
    if (value == null || value is JsonNull) {
        return if (rule.required) listOf(SettingsFault(path, "nothing", rule.accepted)) else emptyList()
    }
    if (!rule.accepts(value)) return listOf(SettingsFault(path, value.toString(), rule.accepted))
    return when (rule) {
        is FieldRule.Section -> findFaults(value as JsonObject, rule.rules, "$path.")
        is FieldRule.Sections ->
            (value as JsonArray).flatMapIndexed { index, one -> findFaults(one as JsonObject, rule.rules, "$path[$index].") }
        else -> emptyList()
    }
}
