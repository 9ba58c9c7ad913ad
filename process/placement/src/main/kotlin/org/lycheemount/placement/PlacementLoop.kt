package org.lycheemount.placement

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random

private const val ROUND_INTERVAL_MS = 4_000L
private const val JITTER_SHARE = 0.25

/** Runs reconciliation rounds until its scope ends. Reads [goal] before each round and skips the round when it is null. */
internal class PlacementLoop(
    private val controller: PlacementController,
    private val goal: suspend () -> PlacementGoal?,
    private val random: Random,
) {
    fun launchIn(scope: CoroutineScope): Job =
        scope.launch {
            while (true) {
                goal()?.let { controller.reconcile(it) }
                // Jitter spreads the table reads of the routers.
                delay((ROUND_INTERVAL_MS * (1 + JITTER_SHARE * (random.nextDouble() - HALF))).toLong())
            }
        }

    private companion object {
        private const val HALF = 0.5
    }
}
