package org.lycheemount.measure.routing

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.RequestId

/** State of one request during the simulation. */
internal class SimulatedRequest(
    val trace: TraceRequest,
) {
    val id = RequestId("r${trace.index}")
    val excludedServers = HashSet<BackendServerId>()
    var routerIndex = trace.routerIndex
    var attemptCount = 0
    var currentAttempt: Attempt? = null
    var generatedTokens = 0
    var firstTokenUs: Long? = null
    var finishedUs: Long? = null
    var cachedTokens = 0
    var prefilledTokens = 0

    /** True once the request was refused, abandoned by its caller, or failed without further attempts. */
    var isEnded = false
    var isRefused = false
    var isFalselyRefused = false

    val isOpen: Boolean get() = !isEnded && finishedUs == null

    fun firstTokenMs(): Double? = firstTokenUs?.let { (it - trace.arrivalUs) / US_PER_MS }

    fun completionMs(): Double? = finishedUs?.let { (it - trace.arrivalUs) / US_PER_MS }

    fun metTargets(): Boolean {
        val first = firstTokenMs() ?: return false
        val completion = completionMs() ?: return false
        val target = trace.trafficClass.workClass
        return first <= target.firstTokenTargetMs && completion <= target.completionTargetMs
    }

    private companion object {
        private const val US_PER_MS = 1_000.0
    }
}

/** One attempt of a request at a worker. */
internal class Attempt(
    val request: SimulatedRequest,
    number: Int,
    val worker: Worker,
    val priority: Int,
) {
    val id = RequestId("${request.id.value}-$number")
}
