package org.lycheemount.placement

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random

private const val ROUND_INTERVAL_MS = 4_000L
private const val JITTER_SHARE = 0.25

/** Runs rounds of a controller until its scope ends; [goal] is read anew for each round and is null when there is none. */
internal class PlacementLoop(
    private val controller: PlacementController,
    private val goal: suspend () -> PlacementGoal?,
    private val random: Random,
) {
    fun launchIn(scope: CoroutineScope): Job =
        scope.launch {
            while (true) {
                goal()?.let { controller.reconcile(it) }
                // Jitter keeps the routers' table reads apart.
                delay((ROUND_INTERVAL_MS * (1 + JITTER_SHARE * (random.nextDouble() - HALF))).toLong())
            }
        }

    private companion object {
        private const val HALF = 0.5
    }
}
