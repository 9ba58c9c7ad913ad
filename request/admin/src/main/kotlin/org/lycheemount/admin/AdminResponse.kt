package org.lycheemount.admin

import io.ktor.http.HttpStatusCode
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.lycheemount.config.FieldError

/** Body of every error response of the administration API. */
@Serializable
data class AdminError(
    val error: Detail,
) {
    /**
     * Details of an error.
     *
     * @property reason machine-readable code: `invalid`, `unauthenticated`, `forbidden`, `not_found`, `conflict`, `too_large`,
     * `unavailable`, `outcome_unknown`, `internal`.
     * @property fields fields that failed validation, with the values that they accept.
     * @property current current versions of the items that caused a conflict.
     * @property changeId id with which the change can be repeated safely.
     */
    @Serializable
    data class Detail(
        val reason: String,
        val detail: String,
        val fields: List<FieldError> = emptyList(),
        val current: List<ItemVersion> = emptyList(),
        val changeId: String? = null,
        val retryAfterMs: Long? = null,
    )

    /** Version of one item; 0 when it does not exist. */
    @Serializable
    data class ItemVersion(
        val kind: String,
        val id: String,
        val version: Long,
    )
}

internal val adminJson = Json { encodeDefaults = true }

/** Status and JSON body of a response. */
internal data class AdminResponse(
    val status: HttpStatusCode,
    val body: JsonElement,
    val retryAfterMs: Long? = null,
)

internal fun ok(body: JsonElement) = AdminResponse(HttpStatusCode.OK, body)

internal fun failed(
    status: HttpStatusCode,
    detail: AdminError.Detail,
) = AdminResponse(status, adminJson.encodeToJsonElement(AdminError.serializer(), AdminError(detail)), detail.retryAfterMs)

internal fun invalid(vararg errors: FieldError) = invalid(errors.toList())

internal fun invalid(errors: List<FieldError>) =
    failed(HttpStatusCode.BadRequest, AdminError.Detail("invalid", "nothing was changed", fields = errors))

internal fun notFound(detail: String) = failed(HttpStatusCode.NotFound, AdminError.Detail("not_found", detail))

internal fun forbidden() =
    failed(HttpStatusCode.Forbidden, AdminError.Detail("forbidden", "the key's role does not allow this; nothing was changed"))

internal fun unavailable(
    detail: String,
    changeId: String? = null,
) = failed(
    HttpStatusCode.ServiceUnavailable,
    AdminError.Detail("unavailable", "nothing was changed: $detail", changeId = changeId, retryAfterMs = RETRY_AFTER_MS),
)

internal fun outcomeUnknown(
    detail: String,
    changeId: String,
) = failed(
    HttpStatusCode.ServiceUnavailable,
    AdminError.Detail(
        "outcome_unknown",
        "the change may have been made; repeat it with the same id: $detail",
        changeId = changeId,
        retryAfterMs = RETRY_AFTER_MS,
    ),
)

private const val RETRY_AFTER_MS = 2_000L
