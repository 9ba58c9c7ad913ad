package org.lycheemount.measure.routing

import org.lycheemount.common.WorkClassId
import org.lycheemount.config.WorkClass
import org.lycheemount.standin.enginemodel.EngineParameters

/**
 * One kind of traffic.
 *
 * @property share share of the requests to the model; 0 for calls to the plain service.
 * @property templateTokens tokens that start the prompts of one document type of a team and recur in its other prompts.
 * @property ownTokens mean tokens of a prompt after its template.
 * @property followUpShare share of requests that continue an earlier prompt of the team.
 */
internal class TrafficClass(
    val workClass: WorkClass,
    val share: Double,
    val templateTokens: Int,
    val ownTokens: Int,
    val outputTokens: Int,
    val followUpShare: Double,
) {
    val name: String get() = workClass.workClassId.value

    /** Engine time of one request when its batch is full and all that recurs in its prompt is cached. */
    fun engineTimeUs(parameters: EngineParameters): Double =
        outputTokens * (parameters.stepPerSequenceUs + parameters.stepBaseUs.toDouble() / parameters.slots) +
            ownTokens * parameters.prefillPerTokenUs.toDouble()
}

internal val trafficClasses =
    listOf(
        traffic("counter", 0.60, 1_000, 8_000, template = 1_600, own = 300, output = 80, followUps = 0.4),
        traffic("drafting", 0.25, 2_500, 30_000, template = 1_600, own = 500, output = 250, followUps = 0.3),
        traffic("intake", 0.10, 20_000, 90_000, template = 1_000, own = 2_000, output = 200, followUps = 0.0),
        traffic("assessment", 0.05, 60_000, 180_000, template = 2_000, own = 4_000, output = 900, followUps = 0.0, mustFinish = true),
        TrafficClass(WorkClass(WorkClassId("lookup"), 800, 1_000), 0.0, 0, 0, 0, 0.0),
    )

internal val modelClasses = trafficClasses.filter { it.share > 0 }
internal val serviceClass = trafficClasses.single { it.share == 0.0 }

private fun traffic(
    name: String,
    share: Double,
    firstTokenTargetMs: Long,
    completionTargetMs: Long,
    template: Int,
    own: Int,
    output: Int,
    followUps: Double,
    mustFinish: Boolean = false,
): TrafficClass {
    val workClass = WorkClass(WorkClassId(name), firstTokenTargetMs, completionTargetMs, mustFinish = mustFinish)
    return TrafficClass(workClass, share, template, own, output, followUps)
}
