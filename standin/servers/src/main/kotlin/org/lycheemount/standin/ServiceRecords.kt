package org.lycheemount.standin

import kotlinx.serialization.Serializable

/**
 * Answer of `GET /counters` of a service.
 *
 * @property executions calls that ran, over all servers of the service in this process.
 * @property byRequestId calls that ran for each request id.
 * @property byBusinessKey calls other than GET that ran for each business key.
 */
@Serializable
data class ServiceCounters(
    val executions: Long,
    val byRequestId: Map<String, Int>,
    val byBusinessKey: Map<String, Int>,
)

/** What the servers of one service have executed, shared among them as their database would be. Thread-safe. */
class ServiceRecords {
    private val byRequestId = LinkedHashMap<String, Int>()
    private val byBusinessKey = LinkedHashMap<String, Int>()
    private var executions = 0L

    /** Counts one execution and returns its number. */
    @Synchronized
    internal fun execute(
        requestId: String?,
        businessKey: String?,
    ): Long {
        if (requestId != null) byRequestId.merge(requestId, 1, Int::plus)
        if (businessKey != null) byBusinessKey.merge(businessKey, 1, Int::plus)
        return ++executions
    }

    /** Returns what has been counted. */
    @Synchronized
    fun counters(): ServiceCounters = ServiceCounters(executions, byRequestId.toMap(), byBusinessKey.toMap())
}
