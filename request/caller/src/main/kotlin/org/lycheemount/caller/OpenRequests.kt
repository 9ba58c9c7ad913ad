package org.lycheemount.caller

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.lycheemount.common.RequestId
import org.lycheemount.common.StateDumpSource
import org.lycheemount.common.TeamId
import java.util.concurrent.ConcurrentHashMap

/** A request in progress in this router. */
internal interface OpenRequest {
    val requestId: RequestId
    val teamId: TeamId

    /** Cancels the request on behalf of its team. */
    suspend fun cancel(): CancelReply

    fun describe(): JsonObject
}

/** Outcome of a cancellation by id; [generatedTokens] is set for requests that ran. */
@Serializable
internal data class CancelReply(
    val result: CancelResult,
    val generatedTokens: Int = 0,
)

@Serializable
internal enum class CancelResult {
    RAN,
    NOT_RUN,
    UNKNOWN,
    NOT_FOUND,
}

/** Requests in progress in this router, by id. Thread-safe. */
internal class OpenRequests : StateDumpSource {
    private val requests = ConcurrentHashMap<RequestId, OpenRequest>()

    override val name: String get() = "openRequests"

    fun add(request: OpenRequest) {
        requests[request.requestId] = request
    }

    fun remove(requestId: RequestId) {
        requests.remove(requestId)
    }

    suspend fun cancel(
        teamId: TeamId,
        requestId: RequestId,
    ): CancelReply {
        val request = requests[requestId]
        if (request == null || request.teamId != teamId) return CancelReply(CancelResult.NOT_FOUND)
        return request.cancel()
    }

    override fun dumpState(): JsonObject =
        buildJsonObject {
            put("requests", requests.size)
            put("firstRequests", buildJsonArray { requests.values.take(MAX_DUMPED_REQUESTS).forEach { add(it.describe()) } })
        }

    private companion object {
        // Limits the size of the dump of a busy router.
        private const val MAX_DUMPED_REQUESTS = 100
    }
}
