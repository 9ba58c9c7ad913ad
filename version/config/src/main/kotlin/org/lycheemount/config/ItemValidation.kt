package org.lycheemount.config

import kotlinx.serialization.json.JsonObject

private const val MAX_FIRST_TOKEN_TARGET_MS = 86_400_000L
private const val MAX_COMPLETION_TARGET_MS = 604_800_000L
private const val MAX_KEY_HASHES = 16
private const val MAX_ADAPTERS = 256
private const val MAX_ROUTES = 256
private const val MAX_TEXT_LENGTH = 256
private const val MAX_CALL_PRICE_TOKENS = 1_000_000_000L
private val httpMethods = setOf("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH")
private val sha256Pattern = Regex("[0-9a-f]{64}")

/** Returns an error for each invalid field of [body]; empty if the item is valid on its own. References are not checked. */
fun validateItem(
    key: ItemKey,
    body: JsonObject,
): List<FieldError> {
    if (!isValidId(key.id)) return listOf(FieldError(key.kind.idField, ID_FORMAT_DESCRIPTION))
    val reader = FieldReader(body)
    reader.text(key.kind.idField, "\"${key.id}\", the id in the path") { it == key.id }
    when (key.kind) {
        ItemKind.TEAM -> reader.readTeam()
        ItemKind.WORK_CLASS -> reader.readWorkClass()
        ItemKind.MODEL -> reader.readModel()
        ItemKind.SERVICE -> reader.readService()
    }
    return reader.finishWithErrors()
}

/** Returns an error for each reference of [body] to an item that does not exist according to [exists]. */
internal fun validateReferences(
    key: ItemKey,
    body: JsonObject,
    exists: (ItemKey) -> Boolean,
): List<FieldError> {
    if (key.kind != ItemKind.MODEL && key.kind != ItemKind.SERVICE) return emptyList()
    val workClassId = referencedWorkClassId(body) ?: return emptyList()
    if (exists(ItemKey(ItemKind.WORK_CLASS, workClassId))) return emptyList()
    return listOf(FieldError("$key.defaultWorkClassId", "id of an existing class"))
}

private fun FieldReader.readTeam() {
    id("budgetId")
    textList("keyHashes", "lower-case hexadecimal SHA-256", MAX_KEY_HASHES) { sha256Pattern.matches(it) }
    nested("limits") {
        positiveNumber("requestsPerSecond", max = 100_000.0)
        long("concurrentRequests", 1L..100_000L)
        positiveNumber("queueShare", max = 1.0)
    }
}

private fun FieldReader.readWorkClass() {
    val firstTokenMs = long("firstTokenTargetMs", 1..MAX_FIRST_TOKEN_TARGET_MS, required = true)
    val completionMs = long("completionTargetMs", 1..MAX_COMPLETION_TARGET_MS, required = true)
    if (firstTokenMs != null && completionMs != null && completionMs < firstTokenMs) {
        addError("completionTargetMs", "integer from firstTokenTargetMs ($firstTokenMs) to $MAX_COMPLETION_TARGET_MS")
    }
    positiveNumber("targetShare", max = 1.0)
    boolean("mustFinish")
}

private fun FieldReader.readModel() {
    text("version", "text of 1 to $MAX_TEXT_LENGTH characters") { it.length in 1..MAX_TEXT_LENGTH }
    textList("adapters", ID_FORMAT_DESCRIPTION, MAX_ADAPTERS, ::isValidId)
    long("maxOutputTokens", 1L..1_000_000L)
    long("minimumCopies", 0L..10_000L)
    id("defaultWorkClassId")
}

private fun FieldReader.readService() {
    long("callPriceTokens", 0..MAX_CALL_PRICE_TOKENS)
    objectList("routes", MAX_ROUTES) {
        text("method", "one of ${httpMethods.joinToString()}") { it in httpMethods }
        text("pathPrefix", "text of 1 to $MAX_TEXT_LENGTH characters that begins with '/'") {
            it.startsWith("/") &&
                it.length <= MAX_TEXT_LENGTH
        }
        boolean("idempotent", required = true)
    }
    id("defaultWorkClassId")
}
