package org.lycheemount.config

import kotlinx.serialization.json.JsonObject

private const val MAX_FIRST_TOKEN_TARGET_MS = 86_400_000L
private const val MAX_COMPLETION_TARGET_MS = 604_800_000L
private const val MAX_KEYS = 16
private const val MAX_ADAPTERS = 256
private const val MAX_ROUTES = 256
private const val MAX_TEXT = 256
private const val MAX_CALL_PRICE_TOKENS = 1_000_000_000L
private val methods = setOf("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH")
private val sha256 = Regex("[0-9a-f]{64}")

/** Returns an error for each field of [body] that [key] does not accept; empty when the item is valid on its own. */
fun validateItem(
    key: ItemKey,
    body: JsonObject,
): List<FieldError> {
    if (!isValidId(key.id)) return listOf(FieldError(key.kind.idField, ACCEPTED_ID))
    val reader = FieldReader(body)
    reader.text(key.kind.idField, "\"${key.id}\", the id in the path") { it == key.id }
    when (key.kind) {
        ItemKind.TEAM -> reader.readTeam()
        ItemKind.WORK_CLASS -> reader.readWorkClass()
        ItemKind.MODEL -> reader.readModel()
        ItemKind.SERVICE -> reader.readService()
    }
    return reader.finish()
}

/** Returns an error for each reference of [body] to an item that [exists] does not know. */
internal fun validateReferences(
    key: ItemKey,
    body: JsonObject,
    exists: (ItemKey) -> Boolean,
): List<FieldError> {
    if (key.kind != ItemKind.MODEL && key.kind != ItemKind.SERVICE) return emptyList()
    val workClassId = referencedClass(body) ?: return emptyList()
    if (exists(ItemKey(ItemKind.WORK_CLASS, workClassId))) return emptyList()
    return listOf(FieldError("$key.defaultWorkClassId", "id of an existing class"))
}

private fun FieldReader.readTeam() {
    id("budgetId")
    texts("keyHashes", "lower-case hexadecimal SHA-256", MAX_KEYS) { sha256.matches(it) }
    nested("limits") {
        positive("requestsPerSecond", most = 100_000.0)
        long("concurrentRequests", 1L..100_000L)
        positive("queueShare", most = 1.0)
    }
}

private fun FieldReader.readWorkClass() {
    val firstTokenMs = long("firstTokenTargetMs", 1..MAX_FIRST_TOKEN_TARGET_MS, required = true)
    val completionMs = long("completionTargetMs", 1..MAX_COMPLETION_TARGET_MS, required = true)
    if (firstTokenMs != null && completionMs != null && completionMs < firstTokenMs) {
        reject("completionTargetMs", "integer from firstTokenTargetMs ($firstTokenMs) to $MAX_COMPLETION_TARGET_MS")
    }
    positive("targetShare", most = 1.0)
    boolean("mustFinish")
}

private fun FieldReader.readModel() {
    text("version", "text of 1 to $MAX_TEXT characters") { it.length in 1..MAX_TEXT }
    texts("adapters", ACCEPTED_ID, MAX_ADAPTERS, ::isValidId)
    long("maxOutputTokens", 1L..1_000_000L)
    long("minimumCopies", 0L..10_000L)
    id("defaultWorkClassId")
}

private fun FieldReader.readService() {
    long("callPriceTokens", 0..MAX_CALL_PRICE_TOKENS)
    objects("routes", MAX_ROUTES) {
        text("method", "one of ${methods.joinToString()}") { it in methods }
        text("pathPrefix", "text of 1 to $MAX_TEXT characters that begins with '/'") { it.startsWith("/") && it.length <= MAX_TEXT }
        boolean("idempotent", required = true)
    }
    id("defaultWorkClassId")
}
