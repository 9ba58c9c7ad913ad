package org.lycheemount.config

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

private val idPattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

/** Description of valid ids for operators. */
const val ID_FORMAT_DESCRIPTION: String = "1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit"

/** Returns whether [value] is a valid item id. */
fun isValidId(value: String): Boolean = idPattern.matches(value)

/** Reads the fields of a JSON object and collects an error for each missing, unknown or invalid field. */
class FieldReader(
    private val source: JsonObject,
    private val path: String = "",
    private val errors: MutableList<FieldError> = mutableListOf(),
) {
    private val knownFields = mutableSetOf<String>()

    /** Reads an integer within [range]. */
    fun long(
        name: String,
        range: LongRange,
        required: Boolean = false,
    ): Long? =
        primitive(name, required, "integer from ${range.first} to ${range.last}") { primitive ->
            primitive.longOrNull?.takeIf {
                !primitive.isString &&
                    it in range
            }
        }

    /** Reads a number above 0 and at most [max]. */
    fun positiveNumber(
        name: String,
        max: Double,
    ): Double? =
        primitive(name, false, "number above 0 and at most $max") { primitive ->
            primitive.doubleOrNull?.takeIf {
                !primitive.isString && it > 0 &&
                    it <= max
            }
        }

    /** Reads true or false. */
    fun boolean(
        name: String,
        required: Boolean = false,
    ): Boolean? = primitive(name, required, "true or false") { primitive -> primitive.booleanOrNull.takeIf { !primitive.isString } }

    /** Reads a string that satisfies [isValid]. */
    fun text(
        name: String,
        accepted: String,
        required: Boolean = true,
        isValid: (String) -> Boolean,
    ): String? = primitive(name, required, accepted) { primitive -> primitive.content.takeIf { primitive.isString && isValid(it) } }

    /** Reads an id. */
    fun id(
        name: String,
        required: Boolean = true,
    ): String? = text(name, ID_FORMAT_DESCRIPTION, required, ::isValidId)

    /** Reads a list of up to [max] strings that each satisfy [isValid]. */
    fun textList(
        name: String,
        accepted: String,
        max: Int,
        isValid: (String) -> Boolean,
    ) {
        val list = list(name, "list of up to $max: $accepted", max) ?: return
        list.forEachIndexed { index, element ->
            val primitive = element as? JsonPrimitive
            if (primitive == null || !primitive.isString ||
                !isValid(primitive.content)
            ) {
                errors += FieldError("$path$name[$index]", accepted)
            }
        }
    }

    /** Reads a nested object, if present. */
    fun nested(
        name: String,
        read: FieldReader.() -> Unit,
    ) {
        knownFields += name
        val value = source[name] ?: return
        readObject("$path$name", value, read)
    }

    /** Reads a list of up to [max] objects, if present. */
    fun objectList(
        name: String,
        max: Int,
        read: FieldReader.() -> Unit,
    ) {
        val list = list(name, "list of up to $max objects", max) ?: return
        list.forEachIndexed { index, element -> readObject("$path$name[$index]", element, read) }
    }

    /** Adds an error for [name] that depends on other fields too. */
    fun addError(
        name: String,
        accepted: String,
    ) {
        errors += FieldError("$path$name", accepted)
    }

    /** Returns all errors, including one for each field that was not read. */
    fun finishWithErrors(): List<FieldError> {
        for (name in source.keys - knownFields) {
            errors +=
                FieldError("$path${name.take(MAX_REPORTED_NAME_LENGTH)}", "unknown field; known fields: ${knownFields.joinToString()}")
        }
        return errors
    }

    private fun readObject(
        objectPath: String,
        value: JsonElement,
        read: FieldReader.() -> Unit,
    ) {
        if (value !is JsonObject) {
            errors += FieldError(objectPath, "object")
            return
        }
        FieldReader(value, "$objectPath.", errors).apply(read).finishWithErrors()
    }

    private fun list(
        name: String,
        accepted: String,
        max: Int,
    ): JsonArray? {
        knownFields += name
        val value = source[name] ?: return null
        val list = (value as? JsonArray)?.takeIf { it.size <= max }
        if (list == null) errors += FieldError("$path$name", accepted)
        return list
    }

    private fun <T> primitive(
        name: String,
        required: Boolean,
        accepted: String,
        convert: (JsonPrimitive) -> T?,
    ): T? {
        knownFields += name
        val value = source[name]
        if (value == null && !required) return null
        val converted = (value as? JsonPrimitive)?.let(convert)
        if (converted == null) errors += FieldError("$path$name", accepted)
        return converted
    }

    private companion object {
        // Names come from the caller and are returned in responses.
        private const val MAX_REPORTED_NAME_LENGTH = 64
    }
}
