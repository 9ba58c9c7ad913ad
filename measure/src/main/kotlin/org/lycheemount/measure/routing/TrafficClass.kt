package org.lycheemount.measure.routing

import org.lycheemount.common.WorkClassId
import org.lycheemount.config.WorkClass
import org.lycheemount.standin.enginemodel.EngineParameters

/**
 * One kind of traffic.
 *
 * @property share share of the requests to the model; 0 for calls to the plain service.
 * @property templateTokens tokens of the common prefix of all prompts for one document type of a team.
 * @property suffixTokens mean tokens of a prompt after its template.
 * @property followUpShare share of the requests that continue an earlier prompt of the team.
 */
internal class TrafficClass(
    val workClass: WorkClass,
    val share: Double,
    val templateTokens: Int,
    val suffixTokens: Int,
    val outputTokens: Int,
    val followUpShare: Double,
) {
    val name: String get() = workClass.workClassId.value

    /** Returns the engine time of one request if its batch is full and the recurring part of its prompt is cached. */
    fun engineTimeUs(parameters: EngineParameters): Double =
        outputTokens * (parameters.stepPerSequenceUs + parameters.stepBaseUs.toDouble() / parameters.slots) +
            suffixTokens * parameters.prefillPerTokenUs.toDouble()
}

internal val trafficClasses =
    listOf(
        TrafficClass(workClass("counter", 1_000, 8_000), 0.60, 1_600, 300, 80, 0.4),
        TrafficClass(workClass("drafting", 2_500, 30_000), 0.25, 1_600, 500, 250, 0.3),
        TrafficClass(workClass("intake", 20_000, 90_000), 0.10, 1_000, 2_000, 200, 0.0),
        TrafficClass(workClass("assessment", 60_000, 180_000, mustFinish = true), 0.05, 2_000, 4_000, 900, 0.0),
        TrafficClass(workClass("lookup", 800, 1_000), 0.0, 0, 0, 0, 0.0),
    )

internal val modelClasses = trafficClasses.filter { it.share > 0 }
internal val serviceClass = trafficClasses.single { it.share == 0.0 }

private fun workClass(
    name: String,
    firstTokenTargetMs: Long,
    completionTargetMs: Long,
    mustFinish: Boolean = false,
) = WorkClass(WorkClassId(name), firstTokenTargetMs, completionTargetMs, mustFinish = mustFinish)
