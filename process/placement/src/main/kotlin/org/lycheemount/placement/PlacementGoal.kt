package org.lycheemount.placement

import org.lycheemount.common.ModelId
import kotlin.math.ceil

private const val TARGET_UTILIZATION = 0.75
private const val LOW_UTILIZATION = 0.5

/**
 * Desired state of one model in one zone.
 *
 * @property copies number of engines that should serve the model; 0 when the zone does not need it.
 */
data class PlacementGoal(
    val modelId: ModelId,
    val version: String,
    val adapters: Set<String>,
    val copies: Int,
)

/**
 * Demand of one work class for a model in a zone, as observed over a few minutes.
 *
 * @property offeredLoadEngines offered load of the class, in fully used engines.
 * @property metShare share of its requests that met their targets, from 0 to 1.
 * @property targetShare share of its requests that must meet their targets, from 0 to 1.
 */
data class ClassDemand(
    val offeredLoadEngines: Double,
    val metShare: Double,
    val targetShare: Double,
)

/**
 * Returns the number of copies of a model that the targets of its classes require.
 *
 * Scales up when the load would use more than three quarters of the copies, or when a class misses its target while more
 * than half of the copies are used. Scales down by one copy, and only if the load would use at most half of the remaining
 * copies, so that the number does not oscillate.
 */
fun desiredCopies(
    currentCopies: Int,
    minimumCopies: Int,
    demand: List<ClassDemand>,
): Int {
    val offeredLoadEngines = demand.sumOf { it.offeredLoadEngines }
    val copiesForLoad = ceil(offeredLoadEngines / TARGET_UTILIZATION).toInt()
    val missesTarget = demand.any { it.metShare < it.targetShare } && offeredLoadEngines > LOW_UTILIZATION * currentCopies
    val desired =
        when {
            missesTarget -> maxOf(copiesForLoad, currentCopies + 1)
            copiesForLoad >= currentCopies -> copiesForLoad
            offeredLoadEngines <= LOW_UTILIZATION * (currentCopies - 1) -> currentCopies - 1
            else -> currentCopies
        }
    return maxOf(minimumCopies, desired)
}
