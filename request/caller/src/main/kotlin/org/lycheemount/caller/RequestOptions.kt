package org.lycheemount.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.http.Headers
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.WorkClassId
import org.lycheemount.config.ConfigurationSnapshot

/** Request options from headers: work class, deadline and idempotency key. */
internal class RequestOptions(
    val workClassId: WorkClassId,
    val deadlineAtMs: Long?,
    val idempotencyKey: IdempotencyKey?,
)

internal fun parseRequestOptions(
    headers: Headers,
    defaultWorkClassId: WorkClassId,
    snapshot: ConfigurationSnapshot,
    arrivedAtMs: Long,
): Result<RequestOptions, Refusal> {
    val workClassId = headers[CLASS_HEADER]?.let(::WorkClassId) ?: defaultWorkClassId
    if (workClassId !in snapshot.workClasses) {
        return invalid("$CLASS_HEADER: must be one of ${snapshot.workClasses.keys.joinToString(", ") { it.value }}")
    }
    val deadlineMs = headers[DEADLINE_HEADER]?.let { it.toLongOrNull() ?: -1 }
    if (deadlineMs != null && deadlineMs !in 1..MAX_DEADLINE_MS) return invalid("$DEADLINE_HEADER: must be between 1 and $MAX_DEADLINE_MS")
    val key = headers[IDEMPOTENCY_HEADER]
    if (key != null && key.length !in 1..MAX_KEY_LENGTH) return invalid("$IDEMPOTENCY_HEADER: must have 1 to $MAX_KEY_LENGTH characters")
    return Ok(RequestOptions(workClassId, deadlineMs?.let { arrivedAtMs + it }, key?.let(::IdempotencyKey)))
}

private fun invalid(detail: String) = Err(Refusal(RefusalReason.INVALID_REQUEST, detail))

private const val CLASS_HEADER = "x-lycheemount-class"
private const val DEADLINE_HEADER = "x-lycheemount-deadline-ms"
private const val IDEMPOTENCY_HEADER = "idempotency-key"
private const val MAX_DEADLINE_MS = 86_400_000L
private const val MAX_KEY_LENGTH = 255
