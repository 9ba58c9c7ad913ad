package org.lycheemount.standin

import kotlinx.serialization.Serializable

/**
 * Response of `GET /counters` of a service.
 *
 * @property executions number of executed calls, over all servers of the service in this process.
 * @property byRequestId executed calls for each request id.
 * @property byBusinessKey executed calls other than GET and HEAD for each business key.
 */
@Serializable
data class ServiceCounters(
    val executions: Long,
    val byRequestId: Map<String, Int>,
    val byBusinessKey: Map<String, Int>,
)

/** Counts of executed calls, shared by the servers of one service like a common database. Thread-safe. */
class ServiceRecords {
    private val byRequestId = LinkedHashMap<String, Int>()
    private val byBusinessKey = LinkedHashMap<String, Int>()
    private var executions = 0L

    /** Counts one execution and returns its sequence number, starting at 1. */
    @Synchronized
    internal fun execute(
        requestId: String?,
        businessKey: String?,
    ): Long {
        if (requestId != null) byRequestId.merge(requestId, 1, Int::plus)
        if (businessKey != null) byBusinessKey.merge(businessKey, 1, Int::plus)
        return ++executions
    }

    /** Returns a snapshot of the counts. */
    @Synchronized
    fun counters(): ServiceCounters = ServiceCounters(executions, byRequestId.toMap(), byBusinessKey.toMap())
}
