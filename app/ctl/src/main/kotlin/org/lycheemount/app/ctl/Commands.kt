package org.lycheemount.app.ctl

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.lycheemount.budget.RestoredBudgetAdministration
import org.lycheemount.common.BudgetId
import org.lycheemount.config.FieldError
import java.io.BufferedReader
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID

/** Implements the subcommands. Each returns the exit code of the process. */
internal class Commands(
    private val client: AdminClient,
    private val output: Output,
) {
    suspend fun show(path: String): ExitCode = reportResponse(client.get(path))

    suspend fun change(
        method: String,
        path: String,
        body: JsonObject? = null,
    ): ExitCode = reportResponse(client.sendWithRetry(method, path, body))

    /** Sends a change that must not be retried, such as creating a key: a retry would create a second one. */
    suspend fun changeWithoutRetry(
        method: String,
        path: String,
    ): ExitCode = reportResponse(client.send(method, path, null))

    suspend fun put(
        kind: String,
        id: String,
        file: String,
        expectedVersion: Long,
        changeId: String,
    ): ExitCode {
        val body = runCatching { Json.parseToJsonElement(Files.readString(Path.of(file))) as? JsonObject }.getOrNull()
        if (body == null) return reportInvalid(listOf(FieldError(file, "readable file with a JSON object")))
        return change("PUT", "/items/$kind/$id?expectedVersion=$expectedVersion&changeId=$changeId", body)
    }

    suspend fun validate(file: String): ExitCode {
        val document = readDocument(file) ?: return ExitCode.REFUSED
        output.result(
            buildJsonObject {
                put("valid", true)
                put("items", document.items.size)
                put("budgets", document.budgetIds.size)
            },
        )
        return ExitCode.OK
    }

    /** Shows the history of a request from the logs in [files], or from standard input if there are none. Needs no router. */
    fun explain(
        requestId: String,
        files: List<String>,
    ): ExitCode {
        val history = RequestHistory(requestId)
        try {
            if (files.isEmpty()) readLog(System.`in`.bufferedReader(), "stdin", history)
            for (file in files) Files.newBufferedReader(Path.of(file)).use { readLog(it, Path.of(file).fileName.toString(), history) }
        } catch (exception: IOException) {
            return reportInvalid(listOf(FieldError(exception.message.orEmpty(), "readable log files")))
        }
        val lines = history.lines()
        if (lines.isEmpty()) return reportInvalid(listOf(FieldError(requestId, "id of a request in the logs")))
        output.lines("lines", lines.map(LogLine::format))
        return ExitCode.OK
    }

    private fun readLog(
        reader: BufferedReader,
        source: String,
        history: RequestHistory,
    ) = reader.forEachLine { line -> parseLogLine(line, source)?.let(history::add) }

    suspend fun diff(
        file: String,
        prune: Boolean,
    ): ExitCode {
        val document = readDocument(file) ?: return ExitCode.REFUSED
        val activeConfiguration = client.get("/items?deleted=true")
        if (!activeConfiguration.isSuccess) return reportResponse(activeConfiguration)
        val edits = planEdits(document, activeConfiguration.body, prune)
        output.result(buildJsonObject { put("changes", JsonArray(edits.map(::describe))) })
        return ExitCode.OK
    }

    /** Changes the active configuration to that of [file]. Up to 100 edits are applied atomically; more are split into batches. */
    suspend fun apply(
        file: String,
        prune: Boolean,
    ): ExitCode {
        val document = readDocument(file) ?: return ExitCode.REFUSED
        val activeConfiguration = client.get("/items?deleted=true")
        if (!activeConfiguration.isSuccess) return reportResponse(activeConfiguration)
        val edits = planEdits(document, activeConfiguration.body, prune)
        for (batch in edits.chunked(EDITS_PER_CHANGE)) {
            val body =
                buildJsonObject {
                    put("changeId", UUID.randomUUID().toString())
                    put("edits", JsonArray(batch.map { it.toJson() }))
                }
            val response = client.sendWithRetry("POST", "/changes", body)
            if (!response.isSuccess) return reportResponse(response)
        }
        applyBudgets(document)?.let { return reportResponse(it) }
        output.result(
            buildJsonObject {
                put("changes", JsonArray(edits.map { JsonPrimitive("${it.action} ${it.key}") }))
                put("budgets", document.budgetIds.size)
            },
        )
        return ExitCode.OK
    }

    /** Creates budgets and applies top-ups. Returns the first response that is not a success, or null. */
    private suspend fun applyBudgets(document: ConfigurationDocument): AdminResponse? {
        for (id in document.budgetIds) client.sendWithRetry("PUT", "/budgets/$id").let { if (!it.isSuccess) return it }
        for (topUp in document.topUps) {
            val response = client.sendWithRetry("POST", "/budgets/${topUp.budgetId}/top-ups", topUpBody(topUp.topUpId, topUp.tokens))
            if (!response.isSuccess) return response
        }
        return null
    }

    suspend fun showRestoredBudgets(budgets: RestoredBudgetAdministration): ExitCode = reportResponse(describeStatus(budgets.status()))

    /** Releases tokens of [budget]. Each of [endedRouters] has the form `ROUTER/INCARNATION`. */
    suspend fun releaseTokens(
        budgets: RestoredBudgetAdministration,
        budget: String,
        endedRouters: List<String>,
        keptTokens: Long,
    ): ExitCode {
        val routers = endedRouters.map { parseEndedRouter(it) ?: return wrongUsage("\"$it\" is not of the form ROUTER/INCARNATION") }
        return reportResponse(describeRelease(budgets.release(BudgetId(budget), routers.toSet(), keptTokens)))
    }

    fun wrongUsage(detail: String): ExitCode {
        val body = mapOf("reason" to JsonPrimitive("usage"), "detail" to JsonPrimitive(detail))
        output.error(JsonObject(mapOf("error" to JsonObject(body))))
        return ExitCode.USAGE
    }

    private fun readDocument(file: String): ConfigurationDocument? {
        val text =
            try {
                Files.readString(Path.of(file))
            } catch (failure: IOException) {
                reportInvalid(listOf(FieldError(file, "readable file")))
                return null
            }
        return when (val result = parseDocument(text)) {
            is DocumentResult.Valid -> result.document
            is DocumentResult.Invalid -> {
                reportInvalid(result.errors)
                null
            }
        }
    }

    private fun reportInvalid(errors: List<FieldError>): ExitCode {
        val fieldErrors =
            errors.map {
                buildJsonObject {
                    put("field", it.field)
                    put("accepted", it.accepted)
                }
            }
        val detail = mapOf("reason" to JsonPrimitive("invalid"), "fields" to JsonArray(fieldErrors))
        output.error(JsonObject(mapOf("error" to JsonObject(detail))))
        return ExitCode.REFUSED
    }

    private fun describe(edit: PlannedEdit) =
        buildJsonObject {
            put("action", edit.action)
            put("item", "${edit.key}")
            put("before", edit.before ?: JsonNull)
            put("after", edit.after ?: JsonNull)
        }

    private fun reportResponse(response: AdminResponse): ExitCode {
        if (response.isSuccess) output.result(response.body) else output.error(response.body)
        return response.exitCode
    }

    private companion object {
        private const val EDITS_PER_CHANGE = 100
    }
}

internal fun topUpBody(
    topUpId: String,
    tokens: Long,
) = buildJsonObject {
    put("topUpId", topUpId)
    put("tokens", tokens)
}
