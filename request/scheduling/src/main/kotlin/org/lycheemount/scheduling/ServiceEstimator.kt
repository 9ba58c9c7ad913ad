package org.lycheemount.scheduling

import org.lycheemount.common.BackendTarget
import org.lycheemount.common.WorkClassId

private const val INITIAL_OUTPUT_SHARE = 0.5
private const val MIN_PREFILL_SAMPLE_TOKENS = 64

// The time to first token includes queueing at the engine, so the estimate follows low samples faster than high ones.
private const val LOW_SAMPLE_GAIN = 0.2
private const val HIGH_SAMPLE_GAIN = 0.02
private const val MEAN_GAIN = 0.1

/** Expected times of one request on an average backend server. */
internal data class ServiceEstimate(
    val firstTokenMs: Double,
    val decodeMs: Double,
) {
    val serviceMs: Double get() = firstTokenMs + decodeMs
}

/** Speeds assumed until requests have been observed. The defaults are those of large models on single accelerators. */
data class InitialSpeeds(
    val prefillMsPerToken: Double = 0.2,
    val decodeMsPerToken: Double = 25.0,
    val serviceMs: Double = 20.0,
)

/** Estimates how long requests to a target take, from observed service times. */
internal class ServiceEstimator(
    private val target: BackendTarget,
    private val initialSpeeds: InitialSpeeds = InitialSpeeds(),
) {
    private val outputTokens = HashMap<WorkClassId, Double>()
    private val observedServiceMs = HashMap<WorkClassId, Double>()
    private val estimatedServiceMs = HashMap<WorkClassId, Double>()
    private val serviceCallMs = HashMap<WorkClassId, Double>()
    private var prefillMsPerToken = initialSpeeds.prefillMsPerToken

    /** Moving average of the time of one output token; rises with the load of the engines. */
    var decodeMsPerToken = initialSpeeds.decodeMsPerToken
        private set

    /** Moving average of the ratio of the time to first token to its estimate; above 1 while prefills delay each other. */
    var firstTokenSlowdown = 1.0
        private set

    fun estimate(
        item: WorkItem,
        cachedTokens: Int,
    ): ServiceEstimate {
        if (target is BackendTarget.Service) {
            return ServiceEstimate(serviceCallMs[item.workClassId] ?: initialSpeeds.serviceMs, decodeMs = 0.0)
        }
        return ServiceEstimate(prefillMs(item.promptTokens - cachedTokens), expectedOutputTokens(item) * decodeMsPerToken)
    }

    /** Expected service time of [item]: [estimate], corrected by the ratio of observed to estimated times of its class. */
    fun expectedServiceMs(
        item: WorkItem,
        estimate: ServiceEstimate,
    ): Double {
        val observed = observedServiceMs[item.workClassId] ?: return estimate.serviceMs
        val ratio = observed / maxOf(1.0, estimatedServiceMs.getValue(item.workClassId))
        return maxOf(1.0, estimate.serviceMs) * ratio
    }

    fun onServed(
        item: WorkItem,
        estimate: ServiceEstimate,
        elapsedMs: Long,
    ) {
        observedServiceMs[item.workClassId] = updatedMean(observedServiceMs[item.workClassId], elapsedMs.toDouble())
        estimatedServiceMs[item.workClassId] = updatedMean(estimatedServiceMs[item.workClassId], maxOf(1.0, estimate.serviceMs))
    }

    private fun updatedMean(
        previous: Double?,
        sample: Double,
    ) = if (previous == null) sample else previous + MEAN_GAIN * (sample - previous)

    fun prefillMs(tokens: Int): Double = decodeMsPerToken + maxOf(0, tokens) * prefillMsPerToken

    fun expectedOutputTokens(item: WorkItem): Double {
        val observed = outputTokens[item.workClassId] ?: return item.maxOutputTokens * INITIAL_OUTPUT_SHARE
        return minOf(observed, item.maxOutputTokens.toDouble())
    }

    fun onFirstToken(
        item: WorkItem,
        cachedTokens: Int,
        elapsedMs: Long,
    ) {
        if (target is BackendTarget.Service) {
            serviceCallMs[item.workClassId] = lowBiasedMean(serviceCallMs[item.workClassId] ?: elapsedMs.toDouble(), elapsedMs.toDouble())
            return
        }
        val uncached = item.promptTokens - cachedTokens
        if (uncached < MIN_PREFILL_SAMPLE_TOKENS) return
        val ratio = elapsedMs / maxOf(1.0, prefillMs(uncached))
        firstTokenSlowdown = maxOf(1.0, firstTokenSlowdown + MEAN_GAIN * (ratio - firstTokenSlowdown))
        val sample = maxOf(0.0, elapsedMs - decodeMsPerToken) / uncached
        prefillMsPerToken = lowBiasedMean(prefillMsPerToken, sample)
    }

    fun onCompleted(
        item: WorkItem,
        tokens: Int,
        decodeMs: Long,
    ) {
        if (target is BackendTarget.Service || tokens <= 0) return
        val previous = outputTokens[item.workClassId] ?: tokens.toDouble()
        outputTokens[item.workClassId] = previous + MEAN_GAIN * (tokens - previous)
        decodeMsPerToken += MEAN_GAIN * (decodeMs.toDouble() / tokens - decodeMsPerToken)
    }

    private fun lowBiasedMean(
        mean: Double,
        sample: Double,
    ) = mean + (if (sample < mean) LOW_SAMPLE_GAIN else HIGH_SAMPLE_GAIN) * (sample - mean)
}
