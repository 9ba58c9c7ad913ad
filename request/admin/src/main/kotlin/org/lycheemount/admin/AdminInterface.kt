package org.lycheemount.admin

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.lycheemount.common.BudgetId
import org.lycheemount.common.TeamId
import org.lycheemount.config.ItemEdit
import org.lycheemount.config.ItemKey
import org.lycheemount.config.ItemKind

/** The administration API. Every response is JSON, and every error is an [AdminError]. */
class AdminInterface(
    private val services: AdminServices,
) {
    private val authenticator = AdminAuthenticator(services.keys)
    private val reader = RequestReader(services.maxBodyBytes)
    private val items = ItemHandler(services.configuration)
    private val teamKeys = TeamKeyHandler(services.configuration, items)
    private val budgets = BudgetHandler(services.budgets, services.configuration)
    private val status = StatusHandler(services)

    /** Adds the routes to [application]. */
    fun installInto(application: Application) {
        application.routing {
            route("/admin/v1") {
                itemRoutes()
                budgetRoutes()
                operationRoutes()
            }
            route("{...}") { handle { respond(call, AdminRole.READ) { notFound("no such operation") } } }
        }
    }

    private fun Route.itemRoutes() {
        get("/items") {
            respond(call, AdminRole.READ) {
                items.list(
                    call.request.queryParameters["kind"],
                    call.request.queryParameters["deleted"] == "true",
                )
            }
        }
        get("/items/{kind}/{id}") { respond(call, AdminRole.READ) { withItemKey(call) { items.get(it) } } }
        put("/items/{kind}/{id}") {
            respond(call, AdminRole.OPERATOR) { key -> withBody(call) { body -> changeItem(call, key, body) } }
        }
        delete("/items/{kind}/{id}") { respond(call, AdminRole.OPERATOR) { key -> changeItem(call, key, body = null) } }
        post("/changes") {
            respond(call, AdminRole.OPERATOR) { key -> withBody(call) { items.changeAll(key.name, it, validateOnly = false) } }
        }
        post("/validate") { respond(call, AdminRole.READ) { key -> withBody(call) { items.changeAll(key.name, it, validateOnly = true) } } }
        get("/history") {
            respond(call, AdminRole.READ) {
                withLongParameter(call, "after", 0L..Long.MAX_VALUE, 0) { after ->
                    withLongParameter(call, "limit", 1L..MAX_PAGE_SIZE, DEFAULT_PAGE_SIZE) { items.history(after, it) }
                }
            }
        }
        post("/teams/{id}/keys") {
            val team = TeamId(call.parameters["id"].orEmpty())
            respond(call, AdminRole.TEAM_ADMIN, team) { teamKeys.create(it.name, team) }
        }
        delete("/teams/{id}/keys/{sha256}") {
            val team = TeamId(call.parameters["id"].orEmpty())
            respond(call, AdminRole.TEAM_ADMIN, team) { teamKeys.revoke(it.name, team, call.parameters["sha256"].orEmpty()) }
        }
    }

    private fun Route.budgetRoutes() {
        get("/budgets") { respond(call, AdminRole.READ) { budgets.list() } }
        get("/budgets/{id}") { respond(call, AdminRole.READ) { budgets.get(budgetId(call)) } }
        put("/budgets/{id}") { respond(call, AdminRole.OPERATOR) { budgets.create(budgetId(call)) } }
        post("/budgets/{id}/top-ups") { respond(call, AdminRole.OPERATOR) { withBody(call) { budgets.topUp(budgetId(call), it) } } }
        post("/budgets/{id}/grants/{grantId}/write-off") {
            respond(call, AdminRole.OPERATOR) { key ->
                val grantId = call.parameters["grantId"].orEmpty()
                services.eventLog.info("write_off_requested", "operator" to key.name, "grant" to grantId)
                budgets.writeOff(budgetId(call), grantId)
            }
        }
        get("/budgets/{id}/bills") {
            respond(call, AdminRole.READ) {
                withLongParameter(call, "limit", 1L..MAX_PAGE_SIZE, DEFAULT_PAGE_SIZE) {
                    budgets.bills(budgetId(call), call.request.queryParameters["after"], it)
                }
            }
        }
    }

    private fun Route.operationRoutes() {
        get("/status") { respond(call, AdminRole.READ) { status.status() } }
        get("/state") { respond(call, AdminRole.READ) { ok(services.dumpState()) } }
        post("/republish") {
            respond(call, AdminRole.OPERATOR) { items.republish(it.name, call.request.queryParameters["changeId"]) }
        }
        post("/drain") {
            respond(call, AdminRole.OPERATOR) {
                services.eventLog.info("drain_requested", "operator" to it.name)
                services.startDrain()
                ok(buildJsonObject { put("draining", true) })
            }
        }
    }

    private suspend fun changeItem(
        call: ApplicationCall,
        key: AdminKey,
        body: JsonObject?,
    ): AdminResponse =
        withItemKey(call) { itemKey ->
            withLongParameter(call, "expectedVersion", 0L..Long.MAX_VALUE, default = null) { version ->
                items.change(key.name, call.request.queryParameters["changeId"], listOf(ItemEdit(itemKey, version, body)))
            }
        }

    private suspend fun withItemKey(
        call: ApplicationCall,
        block: suspend (ItemKey) -> AdminResponse,
    ): AdminResponse {
        val kind = ItemKind.find(call.parameters["kind"].orEmpty()) ?: return unknownKind()
        return block(ItemKey(kind, call.parameters["id"].orEmpty()))
    }

    private suspend fun withBody(
        call: ApplicationCall,
        block: suspend (JsonObject) -> AdminResponse,
    ): AdminResponse =
        when (val body = reader.jsonObject(call)) {
            is ReadResult.Value -> block(body.value)
            is ReadResult.Rejected -> body.response
        }

    private suspend fun withLongParameter(
        call: ApplicationCall,
        name: String,
        range: LongRange,
        default: Long?,
        block: suspend (Long) -> AdminResponse,
    ): AdminResponse =
        when (val value = call.queryLong(name, range, default)) {
            is ReadResult.Value -> block(value.value)
            is ReadResult.Rejected -> value.response
        }

    private fun budgetId(call: ApplicationCall) = BudgetId(call.parameters["id"].orEmpty())

    /** Runs [block] if the key of [call] has [requiredRole], and responds. An exception in [block] becomes an error response. */
    private suspend fun respond(
        call: ApplicationCall,
        requiredRole: AdminRole,
        team: TeamId? = null,
        block: suspend (AdminKey) -> AdminResponse,
    ) {
        val key = authenticator.authenticate(call.request.headers[HttpHeaders.Authorization])
        val response =
            when {
                key == null -> failed(HttpStatusCode.Unauthorized, AdminError.Detail("unauthenticated", "no known key"))
                !key.allows(requiredRole, team) -> forbidden()
                else -> handleFailures(key, block)
            }
        val operator = key?.name ?: "none"
        val path = call.request.path()
        val method = call.request.httpMethod.value
        services.eventLog.info(
            "admin_request",
            "method" to method,
            "path" to path,
            "operator" to operator,
            "status" to response.status.value,
        )
        response.retryAfterMs?.let { call.response.header(HttpHeaders.RetryAfter, (it + MS_PER_SECOND - 1) / MS_PER_SECOND) }
        call.respondText(response.body.toString(), ContentType.Application.Json, response.status)
    }

    private suspend fun handleFailures(
        key: AdminKey,
        block: suspend (AdminKey) -> AdminResponse,
    ): AdminResponse =
        try {
            block(key)
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            services.eventLog.warn("admin_request_failed", "error" to failure.stackTraceToString())
            failed(
                HttpStatusCode.InternalServerError,
                AdminError.Detail("internal", "internal error; read the current state before repeating the change"),
            )
        }

    private companion object {
        private const val MAX_PAGE_SIZE = 500L
        private const val DEFAULT_PAGE_SIZE = 100L
        private const val MS_PER_SECOND = 1_000L
    }
}
