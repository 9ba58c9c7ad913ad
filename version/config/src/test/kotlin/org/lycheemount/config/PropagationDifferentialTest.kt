package org.lycheemount.config

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Compares propagation with a reference model: one register per item, overwritten by every accepted change. */
class PropagationDifferentialTest {
    @Nested
    inner class `routers under random faults` {
        @Test
        fun `never revert to an older version and converge to the reference model`() {
            for (seed in 1..40) runTest { FaultRun(this, seed).run() }
        }
    }

    private class FaultRun(
        private val scope: TestScope,
        private val seed: Int,
    ) {
        private val random = Random(seed)
        private val fleet = ConfigurationFleet(scope, size = 5, seed = seed)
        private val keys = (0 until 4).map { workClassKey("class-$it") }
        private val register = mutableMapOf<ItemKey, ConfigurationItem>()
        private val bodyByVersion = mutableMapOf<Pair<ItemKey, Long>, JsonObject?>()
        private val observedVersions = mutableMapOf<Pair<Int, ItemKey>, Long>()
        private var backup = emptyList<org.lycheemount.platform.TableRow>()
        private var reversions = 0
        private var accepted = 0
        private var changeNumber = 0

        suspend fun run() {
            fleet.startAll()
            delay(3_000)
            repeat(200) { runRandomStep() }
            endFaults()
            awaitConvergence()
            repeat(2) {
                fleet.routers.forEachIndexed { index, router -> router.service.store.republish("repair-$it-$index", "operator") }
                awaitConvergence()
            }

            assertEquals(0, reversions, "seed $seed: items that reverted to an older version or changed within one")
            assertTrue(accepted > 10, "seed $seed: only $accepted changes were accepted")
            val expected = keys.associateWith { register[it]?.body }
            for (router in fleet.routers) {
                assertEquals(
                    expected,
                    keys.associateWith {
                        router.service.replica
                            .find(it)
                            ?.body
                    },
                    "seed $seed: items of ${router.id.value}",
                )
                assertEquals(TableSyncState.InSync, router.service.tableSyncState(), "seed $seed: table sync state of ${router.id.value}")
            }
        }

        private suspend fun runRandomStep() {
            when (random.nextInt(12)) {
                0 ->
                    fleet.network.partition(
                        fleet.routers
                            .shuffled(random)
                            .take(2)
                            .map { it.id },
                        fleet.routers.map { it.id },
                    )
                1 -> endFaults()
                2 ->
                    fleet.routers
                        .random(random)
                        .tableLink.isPartitioned = random.nextInt(3) == 0
                3 ->
                    fleet.routers
                        .random(random)
                        .tableLink
                        .apply { droppedResponseShare = random.nextDouble(0.4) }
                        .also { it.lateCommitShare = random.nextDouble(0.3) }
                4 -> backup = fleet.table.copyRows()
                5 -> if (random.nextInt(4) == 0) fleet.table.restore(backup)
                6 -> fleet.network.apply { lossShare = random.nextDouble(0.3) }.also { it.duplicateShare = random.nextDouble(0.3) }
                7 -> startRepublish()
                else -> repeat(random.nextInt(1, 4)) { startChange() }
            }
            repeat(random.nextInt(1, 20)) {
                delay(random.nextLong(1, 200))
                recordActiveVersions()
            }
        }

        private fun startChange() {
            val router = fleet.routers.random(random)
            val key = keys.random(random)
            val target = random.nextLong(1, 100_000)
            val expected = router.localVersion(key) - if (random.nextInt(10) == 0) 1 else 0
            val changeId = "change-${changeNumber++}"
            scope.backgroundScope.launch {
                if (router.changeWorkClass(key, maxOf(0, expected), target, changeId) is ChangeOutcome.Accepted) accepted++
            }
        }

        private fun startRepublish() {
            val router = fleet.routers.random(random)
            val changeId = "republish-${changeNumber++}"
            scope.backgroundScope.launch { router.service.store.republish(changeId, "operator") }
        }

        /** Records every active version. The register keeps the highest one, since the table accepted each of them. */
        private fun recordActiveVersions() {
            fleet.routers.forEachIndexed { index, router ->
                for (key in keys) {
                    val item = router.service.replica.find(key) ?: ConfigurationItem(key, 0)
                    if (item.version < (observedVersions[index to key] ?: 0)) reversions++
                    observedVersions[index to key] = item.version
                    if (item.version == 0L) continue
                    if (bodyByVersion.getOrPut(key to item.version) { item.body } != item.body) reversions++
                    if (item.version > (register[key]?.version ?: 0)) register[key] = item
                }
            }
        }

        private fun endFaults() {
            fleet.network.heal()
            fleet.network.lossShare = 0.0
            for (link in fleet.routers.map { it.tableLink }) {
                link.isPartitioned = false
                link.droppedResponseShare = 0.0
                link.lateCommitShare = 0.0
            }
        }

        private suspend fun awaitConvergence() {
            repeat(40) {
                delay(500)
                recordActiveVersions()
            }
        }
    }
}
