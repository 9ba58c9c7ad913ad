package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.adapter.createServerRowWatcher
import org.lycheemount.platform.adapter.testing.RestorableStore
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * Routers that follow the operator's rows of a store that comes back from older copies, in virtual time. `-Drestored.store.seeds=1-1000`
 * plays more histories than CI does.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class RestoredStoreTest {
    private val seeds: IntRange
        get() {
            val (first, last) = System.getProperty("restored.store.seeds", "1-100").split('-').map { it.toInt() }
            return first..last
        }

    @Nested
    inner class `a change that is made after the store has come back from an older copy` {
        @Test
        fun `is in force on each router, guarding against feeds that go on from a version of before`() =
            runTest {
                val store = RestorableStore()
                val writers = StoreWriters(this, store)
                writers.publish(3)
                val routers = List(3) { StoreFollower(this, store) }
                val copy = store.copy()
                writers.registerServers(10)
                delay(1_000)
                store.leave()
                delay(1_000)
                store.comeBackFrom(copy)
                writers.publish(8)
                writers.registerServers(20)
                delay(CONFIGURATION_APPLY_MS)

                assertEquals(listOf(8L, 8L, 8L), routers.map { it.version })
            }
    }

    @Nested
    inner class `a router that starts before the operator has written its newest configuration again` {
        @Test
        fun `does not confirm the older one, guarding against 404 for routes that peers serve`() =
            runTest {
                val store = RestorableStore()
                val writers = StoreWriters(this, store)
                writers.publish(3)
                val copy = store.copy()
                writers.publish(8)
                val peer = StoreFollower(this, store)
                delay(1_000)
                store.leave()
                store.comeBackFrom(copy)

                val router = StoreFollower(this, store)
                delay(1_000)
                router.onHeartbeat(peer)
                assertEquals(3, router.version)
                assertFalse(router.refresh())

                writers.publishAgain()
                delay(1_000)
                assertEquals(8, router.version)
                assertTrue(router.refresh())
            }

        @Test
        fun `confirms it once no peer has told of a newer one for 30 s, guarding against 503 for unknown routes without end`() =
            runTest {
                val store = RestorableStore()
                val writers = StoreWriters(this, store)
                writers.publish(3)
                val copy = store.copy()
                writers.publish(8)
                val peer = StoreFollower(this, store)
                delay(1_000)
                store.leave()
                store.comeBackFrom(copy)

                val router = StoreFollower(this, store)
                delay(1_000)
                router.onHeartbeat(peer)
                delay(29_000)
                assertFalse(router.refresh())
                delay(1_001)
                assertTrue(router.refresh())
                assertEquals(3, router.version)
            }
    }

    @Nested
    inner class `a router that starts before the operator has written again, with a link to a peer` {
        private val store = RestorableStore()

        /** Passes a peer that has version 8 in force to [steps]. The store has come back with version 3. */
        private fun runRestart(steps: suspend TestScope.(StoreWriters, FakePeerNetwork, peer: StoreFollower) -> Unit) =
            runTest {
                val network = FakePeerNetwork(backgroundScope)
                val writers = StoreWriters(this, store)
                writers.publish(3)
                val copy = store.copy()
                writers.publish(8)
                val peer = StoreFollower(this, store, network, "r1")
                delay(1_000)
                store.leave()
                store.comeBackFrom(copy)
                steps(writers, network, peer)
            }

        @Test
        fun `reads it from the peer, guarding against known routes that are run as an older version says`() =
            runRestart { _, network, _ ->
                val router = StoreFollower(this, store, network, "r2")
                delay(PEER_APPLY_MS)
                assertEquals(8, router.version)
                assertTrue(router.refresh())
            }

        @Test
        fun `does not serve by the older one before, guarding against requests that run by it until the first heartbeat`() =
            runRestart { _, network, _ ->
                val router = StoreFollower(this, store, network, "r2")
                val versions = HashSet<Long?>()
                repeat(PEER_APPLY_MS.toInt()) {
                    delay(1)
                    versions += router.servingVersion
                }
                assertEquals(setOf(null, 8L), versions)
            }

        @Test
        fun `reads it once there is a link`() =
            runRestart { _, network, peer ->
                network.partition(listOf(peer.routerId), listOf(RouterId("r2")))
                val router = StoreFollower(this, store, network, "r2")
                delay(10_000)
                assertEquals(3, router.version)
                network.heal()
                delay(PEER_APPLY_MS)
                assertEquals(8, router.version)
            }

        @Test
        fun `has the version that the operator writes later, if it is higher`() =
            runRestart { writers, network, peer ->
                val router = StoreFollower(this, store, network, "r2")
                delay(PEER_APPLY_MS)
                writers.publish(5)
                delay(CONFIGURATION_APPLY_MS)
                assertEquals(listOf(8L, 8L), listOf(router, peer).map { it.version })
                writers.publish(9)
                delay(CONFIGURATION_APPLY_MS)
                assertEquals(listOf(9L, 9L), listOf(router, peer).map { it.version })
            }

        @Test
        fun `has the older version after a restart of all routers, until the operator writes again`() =
            runRestart { writers, network, peer ->
                peer.stop()
                val routers = listOf("r1", "r2").map { StoreFollower(this, store, network, it) }
                delay(PEER_APPLY_MS)
                assertEquals(listOf(3L, 3L), routers.map { it.version })
                writers.publishAgain()
                delay(CONFIGURATION_APPLY_MS)
                assertEquals(listOf(8L, 8L), routers.map { it.version })
            }
    }

    @Nested
    inner class `routers that follow a store that loses nothing` {
        @Test
        fun `read no configuration from peers, guarding against documents sent between zones`() =
            runTest {
                val store = RestorableStore()
                val network = FakePeerNetwork(backgroundScope)
                val writers = StoreWriters(this, store)
                writers.publish(1)
                val routers = List(7) { StoreFollower(this, store, network, "r$it") }
                val random = Random(1)
                for (version in 2L..200L) {
                    delay(random.nextLong(50, 1_000))
                    writers.publish(version)
                }
                delay(1_000)
                assertEquals(List(7) { 200L }, routers.map { it.version })
                assertEquals(List(7) { 0 }, routers.map { it.configurationsFromPeers })
            }
    }

    @Nested
    inner class `a server that registered after the copy was made` {
        private val store = RestorableStore()

        private fun runRestoredStore(steps: suspend TestScope.(servers: () -> Set<String>) -> Unit) =
            runTest {
                var servers = emptySet<String>()
                val clock = virtualClock()
                val client = createStoreClient(store.Link(), "127.0.0.1:1", clock, FakeEventLog())
                val listener =
                    ServerRowListener(
                        { list -> servers = list.mapTo(HashSet()) { it.backendServerId.value } },
                        clock,
                        FakeEventLog(),
                        ::decodeServer,
                    )
                backgroundScope.launch { createServerRowWatcher(client).watch(listener) }
                store.put("servers", "i-1", "{}")
                val copy = store.copy()
                store.put("servers", "i-2", "{}")
                delay(2_000)
                store.leave()
                delay(100)
                store.comeBackFrom(copy)
                steps { servers }
            }

        @Test
        fun `stays in use until it has registered again, guarding against requests refused for want of servers`() =
            runRestoredStore { servers ->
                delay(1_800)
                assertEquals(setOf("i-1", "i-2"), servers())
                store.put("servers", "i-2", "{}")
                delay(5_000)
                assertEquals(setOf("i-1", "i-2"), servers())
            }

        @Test
        fun `is removed if it does not register again`() =
            runRestoredStore { servers ->
                delay(5_000)
                assertEquals(setOf("i-1"), servers())
            }

        private fun decodeServer(
            id: String,
            value: ByteArray,
        ) = if (value.isEmpty()) {
            Err(
                "no entry",
            )
        } else {
            Ok(BackendServer(BackendServerId(id), VmId(id), ZoneId("z"), "10.0.0.1", 80, emptySet()))
        }
    }

    @Nested
    inner class `routers whose store comes back from older copies at random` {
        @Test
        fun `have the newest configuration in force in time, with 1, 3 and 7 routers`() {
            val failures = listOf(1, 3, 7).flatMap { routerCount -> seeds.mapNotNull { seed -> firstFailure(seed, routerCount) } }
            assertEquals(emptyList(), failures)
        }
    }

    @Nested
    inner class `routers that restart while the store comes back from older copies at random` {
        @Test
        fun `have what their peers have in force, also before the operator writes again, with 3 and 7 routers`() {
            val results = listOf(3, 7).flatMap { routerCount -> seeds.map { seed -> playRestarts(seed, routerCount) } }
            assertEquals(emptyList(), results.mapNotNull { it.failure })
            assertTrue(results.sumOf { it.configurationsFromPeers } > results.size, "hardly any configuration was read from a peer")
        }

        private fun playRestarts(
            seed: Int,
            routerCount: Int,
        ): RestartHistory {
            lateinit var history: RestartHistory
            runTest {
                history = RestartHistory(this, seed, routerCount)
                history.play(HISTORY_MS)
            }
            return history
        }
    }

    /** Returns what is wrong first in the history of [seed]; null if nothing is. */
    private fun firstFailure(
        seed: Int,
        routerCount: Int,
    ): String? {
        var failure: String? = null
        runTest { failure = findFailure(seed, routerCount) }
        return failure
    }

    private suspend fun TestScope.findFailure(
        seed: Int,
        routerCount: Int,
    ): String? {
        val random = Random(seed)
        val store = RestorableStore()
        val writers = StoreWriters(this, store)
        writers.publish(1)
        val routers = List(routerCount) { StoreFollower(this, store) }
        val touchedSinceMs = LongArray(routerCount)
        var isStoreTroubled = false
        backgroundScope.launch {
            while (true) {
                delay(random.nextLong(20, 250))
                writers.registerServers(random.nextInt(1, 4))
            }
        }
        backgroundScope.launch {
            var version = 1L
            while (true) {
                delay(random.nextLong(300, 4_000))
                version += random.nextLong(1, 9)
                writers.publish(version)
            }
        }
        backgroundScope.launch {
            while (true) {
                val copy = store.copy()
                delay(random.nextLong(500, 10_000))
                isStoreTroubled = true
                store.leave()
                delay(random.nextLong(50, 1_500))
                store.comeBackFrom(copy)
                delay(random.nextLong(1, 1_000))
                writers.publishAgain()
                writers.registerServers(random.nextInt(0, 80))
                isStoreTroubled = false
                touchedSinceMs.indices.forEach { touchedSinceMs[it] = maxOf(touchedSinceMs[it], currentTime + CONTACT_MS) }
            }
        }
        for ((index, router) in routers.withIndex()) {
            val cuts = Random(seed * 100 + index)
            backgroundScope.launch {
                while (true) {
                    delay(cuts.nextLong(1_000, 15_000))
                    router.link.isSilent = cuts.nextBoolean()
                    router.link.isCut = true
                    delay(cuts.nextLong(300, 5_000))
                    router.link.isCut = false
                    touchedSinceMs[index] = maxOf(touchedSinceMs[index], currentTime + CONTACT_MS)
                }
            }
        }
        while (currentTime < HISTORY_MS) {
            delay(CHECK_INTERVAL_MS)
            for ((index, router) in routers.withIndex()) {
                if (isStoreTroubled || router.link.isCut || currentTime < touchedSinceMs[index]) continue
                val due = writers.dueVersion(touchedSinceMs[index] - CONTACT_MS)
                val state = "seed $seed, $routerCount routers, router $index at $currentTime ms"
                if (router.version < due) return "version ${router.version} is in force, $due is due: $state"
                val newest = writers.acknowledgedAtMs.lastKey()
                val isConfirmed = router.refresh()
                if (isConfirmed && router.version < newest) return "version ${router.version} is confirmed, not $newest: $state"
            }
        }
        return null
    }

    private companion object {
        private const val HISTORY_MS = 60_000L
        private const val CHECK_INTERVAL_MS = 250L

        // Bounds hold on routers that have reached the store for so long.
        private const val CONTACT_MS = 3_000L

        // Time in which a router has the newest configuration of its peers: a heartbeat takes up to 2.5 s, a check of the store 0.5 s.
        private const val PEER_APPLY_MS = 4_000L
    }
}
