package org.lycheemount.config

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

private val idPattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

/** Text of the rule for ids, as shown to operators. */
const val ACCEPTED_ID: String = "1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit"

/** Returns whether [value] may name an item. */
fun isValidId(value: String): Boolean = idPattern.matches(value)

/** Reads the fields of a JSON object and collects an error for each that is missing, unknown or out of range. */
class FieldReader(
    private val source: JsonObject,
    private val path: String = "",
    private val errors: MutableList<FieldError> = mutableListOf(),
) {
    private val known = mutableSetOf<String>()

    /** Reads an integer within [range]. */
    fun long(
        name: String,
        range: LongRange,
        required: Boolean = false,
    ): Long? =
        primitive(name, required, "integer from ${range.first} to ${range.last}") { one ->
            one.longOrNull?.takeIf {
                !one.isString &&
                    it in range
            }
        }

    /** Reads a number above 0 and at most [most]. */
    fun positive(
        name: String,
        most: Double,
    ): Double? =
        primitive(name, false, "number above 0 and at most $most") { one ->
            one.doubleOrNull?.takeIf {
                !one.isString && it > 0 &&
                    it <= most
            }
        }

    /** Reads true or false. */
    fun boolean(
        name: String,
        required: Boolean = false,
    ): Boolean? = primitive(name, required, "true or false") { one -> one.booleanOrNull.takeIf { !one.isString } }

    /** Reads text that satisfies [isValid]. */
    fun text(
        name: String,
        accepted: String,
        required: Boolean = true,
        isValid: (String) -> Boolean,
    ): String? = primitive(name, required, accepted) { one -> one.content.takeIf { one.isString && isValid(it) } }

    /** Reads an id. */
    fun id(
        name: String,
        required: Boolean = true,
    ): String? = text(name, ACCEPTED_ID, required, ::isValidId)

    /** Reads a list of up to [most] texts that each satisfy [isValid]. */
    fun texts(
        name: String,
        accepted: String,
        most: Int,
        isValid: (String) -> Boolean,
    ) {
        val list = list(name, "list of up to $most: $accepted", most) ?: return
        list.forEachIndexed { index, element ->
            val one = element as? JsonPrimitive
            if (one == null || !one.isString || !isValid(one.content)) errors += FieldError("$path$name[$index]", accepted)
        }
    }

    /** Reads a nested object, if present. */
    fun nested(
        name: String,
        read: FieldReader.() -> Unit,
    ) {
        known += name
        val value = source[name] ?: return
        readObject("$path$name", value, read)
    }

    /** Reads a list of up to [most] objects, if present. */
    fun objects(
        name: String,
        most: Int,
        read: FieldReader.() -> Unit,
    ) {
        val list = list(name, "list of up to $most objects", most) ?: return
        list.forEachIndexed { index, element -> readObject("$path$name[$index]", element, read) }
    }

    /** Adds an error about [name] that depends on more than this field. */
    fun reject(
        name: String,
        accepted: String,
    ) {
        errors += FieldError("$path$name", accepted)
    }

    /** Returns all errors, fields that no call has named included. */
    fun finish(): List<FieldError> {
        for (name in source.keys - known) {
            errors +=
                FieldError("$path${name.take(MAX_SHOWN_NAME)}", "no such field; known: ${known.joinToString()}")
        }
        return errors
    }

    private fun readObject(
        at: String,
        value: JsonElement,
        read: FieldReader.() -> Unit,
    ) {
        if (value !is JsonObject) {
            errors += FieldError(at, "object")
            return
        }
        FieldReader(value, "$at.", errors).apply(read).finish()
    }

    private fun list(
        name: String,
        accepted: String,
        most: Int,
    ): JsonArray? {
        known += name
        val value = source[name] ?: return null
        val list = (value as? JsonArray)?.takeIf { it.size <= most }
        if (list == null) errors += FieldError("$path$name", accepted)
        return list
    }

    private fun <T> primitive(
        name: String,
        required: Boolean,
        accepted: String,
        convert: (JsonPrimitive) -> T?,
    ): T? {
        known += name
        val value = source[name]
        if (value == null && !required) return null
        val converted = (value as? JsonPrimitive)?.let(convert)
        if (converted == null) errors += FieldError("$path$name", accepted)
        return converted
    }

    private companion object {
        // Names come from outside and are repeated in answers.
        private const val MAX_SHOWN_NAME = 64
    }
}
