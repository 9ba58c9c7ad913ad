package org.lycheemount.placement

import org.lycheemount.common.ModelId
import kotlin.math.ceil

private const val BUSY_SHARE_TARGET = 0.75
private const val SHRINK_BUSY_SHARE = 0.5

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
 * @property busyEngines engines' worth of work that the class offered.
 * @property metShare share of its requests that met their targets, from 0 to 1.
 * @property targetShare share that must meet them.
 */
data class ClassDemand(
    val busyEngines: Double,
    val metShare: Double,
    val targetShare: Double,
)

/**
 * Returns how many copies of a model the classes' targets need.
 *
 * Grows when work would fill more than three quarters of the copies, or when a class misses its target while the copies
 * are busy. Shrinks only when the remaining copies would be at most half busy, so that the number does not oscillate.
 */
fun wantedCopies(
    currentCopies: Int,
    minimumCopies: Int,
    demand: List<ClassDemand>,
): Int {
    val busy = demand.sumOf { it.busyEngines }
    val byLoad = ceil(busy / BUSY_SHARE_TARGET).toInt()
    val missed = demand.any { it.metShare < it.targetShare } && busy > SHRINK_BUSY_SHARE * currentCopies
    val wanted =
        when {
            missed -> maxOf(byLoad, currentCopies + 1)
            byLoad >= currentCopies -> byLoad
            busy <= SHRINK_BUSY_SHARE * (currentCopies - 1) -> currentCopies - 1
            else -> currentCopies
        }
    return maxOf(minimumCopies, wanted)
}
