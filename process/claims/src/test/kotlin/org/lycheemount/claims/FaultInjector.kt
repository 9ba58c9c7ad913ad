package org.lycheemount.claims

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlin.random.Random

/** Starts and ends random faults of the network, the routers and the table. */
internal class FaultInjector(
    private val scope: TestScope,
    private val fleet: ClaimFleet,
    private val random: Random,
) {
    private val killedRouters = ArrayList<ClaimFleet.Router>()

    suspend fun injectFaults() {
        fleet.network.lossShare = random.nextDouble(0.1)
        fleet.network.duplicateShare = random.nextDouble(0.3)
        while (true) {
            delay(random.nextLong(50, 2_000))
            injectRandomFault()
        }
    }

    fun endAllFaults() {
        fleet.network.heal()
        fleet.network.lossShare = 0.0
        fleet.network.duplicateShare = 0.0
        fleet.table.isAvailable = true
        killedRouters.forEach { fleet.restart(it) }
        killedRouters.clear()
        fleet.routers.forEach {
            it.pause.untilMs = 0
            it.link.isPartitioned = false
            it.link.droppedResponseShare = 0.0
            it.link.lateCommitShare = 0.0
        }
    }

    private fun injectRandomFault() {
        val runningRouters = fleet.routers.filter { it.isRunning }
        val router = runningRouters.random(random)
        when (random.nextInt(10)) {
            0 -> {
                val (oneSide, otherSide) = runningRouters.map { it.identity.routerId }.partition { random.nextBoolean() }
                fleet.network.partition(oneSide, otherSide)
            }
            1, 2 -> fleet.network.heal()
            3 -> if (killedRouters.size < 2) kill(router)
            4 -> killedRouters.removeFirstOrNull()?.let { fleet.restart(it) }
            5 -> router.pause.untilMs = fleet.clock.monotonicMs() + random.nextLong(6_000)
            6 -> router.link.isPartitioned = !router.link.isPartitioned
            7 -> fleet.table.isAvailable = !fleet.table.isAvailable || random.nextBoolean()
            8 -> router.scope.launch { router.claims.close() }
            9 -> {
                router.link.droppedResponseShare = random.nextDouble(0.5)
                router.link.lateCommitShare = random.nextDouble(0.3)
            }
        }
    }

    private fun kill(router: ClaimFleet.Router) {
        router.kill()
        killedRouters += router
        scope.backgroundScope.launch {
            delay(3_000)
            fleet.confirmGone(router)
        }
    }
}
