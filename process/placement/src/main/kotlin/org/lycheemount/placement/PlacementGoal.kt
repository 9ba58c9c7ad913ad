package org.lycheemount.placement

import org.lycheemount.common.ModelId
import kotlin.math.ceil

private const val TARGET_UTILIZATION = 0.75
private const val LOW_UTILIZATION = 0.5

/**
 * Desired state of one model in one zone.
 *
 * @property copies engines that are to serve the model; 0 when the model is not needed in the zone.
 */
data class PlacementGoal(
    val modelId: ModelId,
    val version: String,
    val adapters: Set<String>,
    val copies: Int,
)

/**
 * Demand of one class of work for a model in a zone, as observed over a few minutes.
 *
 * @property offeredLoadEngines engines' worth of work that the class offered.
 * @property metShare share of its requests that met their targets, from 0 to 1.
 * @property targetShare share that must meet them.
 */
data class ClassDemand(
    val offeredLoadEngines: Double,
    val metShare: Double,
    val targetShare: Double,
)

/**
 * Returns how many copies of a model the classes' targets need.
 *
 * Grows when work would fill more than three quarters of the copies, or when a class misses its target while the copies
 * are busy. Shrinks only when the remaining copies would be at most half busy, so that the number does not oscillate.
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
