package org.lycheemount.app.router.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.lycheemount.platform.adapter.testing.RestorableStore
import org.lycheemount.testing.FakePeerNetwork
import kotlin.random.Random

/**
 * A random history in virtual time: the store comes back from older copies, the operator writes what was lost again up to 15 s later,
 * routers restart and lose their links to the store and to each other.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class RestartHistory(
    private val scope: TestScope,
    private val seed: Int,
    private val routerCount: Int,
) {
    private val random = Random(seed)
    private val store = RestorableStore()
    private val network = FakePeerNetwork(scope.backgroundScope, seed = seed)
    private val writers = StoreWriters(scope, store)
    private val routers = ArrayList<StoreFollower>()

    /** Time since which each router has run and has reached the store and its peers. */
    private val inTouchSinceMs = LongArray(routerCount)
    private var isStoreTroubled = false
    private var isPartitioned = false

    /** Versions of all routers at each check, with its time. */
    private val versions = ArrayDeque<Pair<Long, List<Long>>>()
    private var configurationsOfStopped = 0

    /** What was wrong first; null if nothing was. */
    var failure: String? = null
        private set

    val configurationsFromPeers get() = configurationsOfStopped + routers.sumOf { it.configurationsFromPeers }

    suspend fun play(durationMs: Long) {
        writers.publish(1)
        repeat(routerCount) { routers += StoreFollower(scope, store, network, "r$it") }
        for (events in listOf(::publishVersions, ::restoreStore, ::partitionPeers)) scope.backgroundScope.launch { events() }
        repeat(routerCount) { scope.backgroundScope.launch { disturb(it) } }
        while (failure == null && scope.currentTime < durationMs) {
            delay(CHECK_INTERVAL_MS)
            check()
        }
    }

    private suspend fun publishVersions() {
        var version = 1L
        while (true) {
            delay(random.nextLong(1_000, 20_000))
            version += random.nextLong(1, 9)
            writers.publish(version)
        }
    }

    private suspend fun restoreStore() {
        while (true) {
            val copy = store.copy()
            delay(random.nextLong(500, 10_000))
            isStoreTroubled = true
            store.leave()
            delay(random.nextLong(50, 1_500))
            store.comeBackFrom(copy)
            isStoreTroubled = false
            inTouchSinceMs.fill(scope.currentTime)
            delay(random.nextLong(1_000, 15_000))
            writers.publishAgain()
        }
    }

    private suspend fun partitionPeers() {
        while (true) {
            delay(random.nextLong(5_000, 30_000))
            val (left, right) = routers.map { it.routerId }.partition { random.nextBoolean() }
            network.partition(left, right)
            isPartitioned = true
            delay(random.nextLong(1_000, 10_000))
            network.heal()
            isPartitioned = false
            inTouchSinceMs.fill(scope.currentTime)
        }
    }

    private suspend fun disturb(index: Int) {
        val events = Random(seed * 100 + index)
        while (true) {
            delay(events.nextLong(2_000, 30_000))
            if (events.nextBoolean()) {
                configurationsOfStopped += routers[index].configurationsFromPeers
                routers[index].stop()
                routers[index] = StoreFollower(scope, store, network, "r$index")
            } else {
                val link = routers[index].link
                link.isSilent = events.nextBoolean()
                link.isCut = true
                delay(events.nextLong(300, 5_000))
                link.isCut = false
            }
            inTouchSinceMs[index] = scope.currentTime
        }
    }

    /** Each router has at least what a peer that has run on since had in force [PEER_APPLY_MS] before. */
    private fun check() {
        val nowMs = scope.currentTime
        versions.addLast(nowMs to routers.map { it.version })
        while (versions.first().first < nowMs - PEER_APPLY_MS) versions.removeFirst()
        if (isStoreTroubled || isPartitioned) return
        val (asOfMs, earlierVersions) = versions.first()
        val inTouch = routers.indices.filter { inTouchSinceMs[it] < asOfMs && !routers[it].link.isCut }
        val newest = inTouch.maxOfOrNull { earlierVersions[it] } ?: return
        for (index in inTouch) {
            val version = routers[index].version
            if (version < newest) {
                failure = "version $version is in force, a peer has $newest: seed $seed, $routerCount routers, router $index at $nowMs ms"
            }
        }
    }

    private companion object {
        private const val CHECK_INTERVAL_MS = 250L

        // A heartbeat takes up to 2.5 s. A router that is told of a newer version checks the store 0.5 s later, and may have to repeat it.
        private const val PEER_APPLY_MS = 6_000L
    }
}
