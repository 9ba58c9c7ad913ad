package org.lycheemount.config

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ConfigurationServiceTest {
    private val key = workClassKey("interactive")

    @Nested
    inner class `an accepted change` {
        @Test
        fun `becomes active on every router although the table fails immediately afterwards`() =
            runTest {
                val fleet = ConfigurationFleet(this, size = 4).apply { startAll() }
                delay(3_000)

                val accepted = assertIs<ChangeOutcome.Accepted>(fleet.routers[0].changeWorkClass(key, 0, 300, "change-1"))
                fleet.table.isAvailable = false
                delay(2_000)

                assertEquals(List(4) { accepted.sequence }, fleet.routers.map { it.localVersion(key) })
            }

        @Test
        fun `is accepted once when its response is lost and the operator repeats it on another router`() =
            runTest {
                val fleet = ConfigurationFleet(this).apply { startAll() }
                delay(3_000)
                fleet.routers[0].tableLink.droppedResponseShare = 1.0

                val first = fleet.routers[0].changeWorkClass(key, 0, 300, "change-1")
                val repeated = fleet.routers[1].changeWorkClass(key, 0, 300, "change-1")

                assertIs<ChangeOutcome.Accepted>(first)
                assertEquals(first, repeated)
                assertEquals(1, fleet.table.commitCount)
            }

        @Test
        fun `is reported as unknown, not as failed, while the outcome cannot be resolved`() =
            runTest {
                val fleet = ConfigurationFleet(this).apply { startAll() }
                delay(3_000)
                val router = fleet.routers[0]
                router.tableLink.droppedResponseShare = 1.0
                val change = async { router.changeWorkClass(key, 0, 300, "change-1") }
                delay(11)
                router.tableLink.isPartitioned = true

                assertIs<ChangeOutcome.Unknown>(change.await())
                router.tableLink.isPartitioned = false
                router.tableLink.droppedResponseShare = 0.0
                assertIs<ChangeOutcome.Accepted>(router.changeWorkClass(key, 0, 300, "change-1"))
                assertEquals(1, fleet.table.commitCount)
            }
    }

    @Nested
    inner class `concurrent changes` {
        @Test
        fun `to one item are accepted only once, and the others conflict with the accepted version`() =
            runTest {
                val fleet = ConfigurationFleet(this, size = 5).apply { startAll() }
                delay(3_000)

                val outcomes =
                    fleet.routers
                        .mapIndexed { index, router ->
                            async {
                                router.changeWorkClass(
                                    key,
                                    0,
                                    100L + index,
                                    "change-$index",
                                )
                            }
                        }.awaitAll()

                val accepted = outcomes.filterIsInstance<ChangeOutcome.Accepted>().single()
                val conflicts = outcomes.filterIsInstance<ChangeOutcome.Conflict>()
                assertEquals(4, conflicts.size)
                assertTrue(conflicts.all { it.current == mapOf(key to accepted.sequence) }, "$conflicts")
            }

        @Test
        fun `cannot leave a model with a reference to a class that another change deletes`() =
            runTest {
                val fleet = ConfigurationFleet(this).apply { startAll() }
                delay(3_000)
                val version = assertIs<ChangeOutcome.Accepted>(fleet.routers[0].changeWorkClass(key, 0, 300, "change-1")).sequence
                val model = rowJson.parseToJsonElement("""{"modelId":"m","version":"1","defaultWorkClassId":"interactive"}""")
                val add = ItemEdit(ItemKey(ItemKind.MODEL, "m"), 0, model as kotlinx.serialization.json.JsonObject)

                val outcomes =
                    listOf(
                        async {
                            fleet.routers[1]
                                .service.store
                                .change(ChangeRequest("add", "a", listOf(add)))
                        },
                        async {
                            fleet.routers[2]
                                .service.store
                                .change(ChangeRequest("delete", "b", listOf(ItemEdit(key, version, null))))
                        },
                    ).awaitAll()

                assertEquals(1, outcomes.filterIsInstance<ChangeOutcome.Accepted>().size)
                assertEquals(1, outcomes.filterIsInstance<ChangeOutcome.Invalid>().size)
            }
    }

    @Nested
    inner class `a restored table` {
        @Test
        fun `is reported, reverts no active version, and gets the lost versions back when an operator republishes them`() =
            runTest {
                val fleet = ConfigurationFleet(this).apply { startAll() }
                delay(3_000)
                val backup = fleet.table.copyRows()
                val accepted = assertIs<ChangeOutcome.Accepted>(fleet.routers[0].changeWorkClass(key, 0, 300, "change-1"))
                fleet.table.restore(backup)
                delay(5_000)
                val syncState = fleet.routers[2].service.tableSyncState()
                val localVersions = fleet.routers.map { it.localVersion(key) }

                val republished =
                    fleet.routers[1]
                        .service.store
                        .republish("repair-1", "operator")
                delay(5_000)

                assertEquals(setOf(key), assertIs<TableSyncState.Restored>(syncState).lostItems)
                assertEquals(List(3) { accepted.sequence }, localVersions)
                assertIs<ChangeOutcome.Accepted>(republished)
                assertTrue(
                    fleet.routers.all {
                        it.service.tableSyncState() == TableSyncState.InSync &&
                            it.localVersion(key) == republished.sequence
                    },
                )
            }

        @Test
        fun `never reuses a version that was assigned before the restore`() =
            runTest {
                val fleet = ConfigurationFleet(this, size = 1).apply { startAll() }
                delay(3_000)
                val backup = fleet.table.copyRows()
                val beforeRestore = assertIs<ChangeOutcome.Accepted>(fleet.routers[0].changeWorkClass(key, 0, 300, "change-1"))
                fleet.routers[0].stop()
                fleet.table.restore(backup)
                delay(1_000)
                fleet.routers[0].start()
                delay(1_000)

                val afterRestore = assertIs<ChangeOutcome.Accepted>(fleet.routers[0].changeWorkClass(key, 0, 400, "change-2"))

                assertTrue(afterRestore.sequence > beforeRestore.sequence, "$beforeRestore, $afterRestore")
            }
    }

    @Nested
    inner class `a router that starts during a table outage` {
        @Test
        fun `loads the whole configuration from a peer, page by page`() =
            runTest {
                val fleet = ConfigurationFleet(this, size = 2)
                fleet.routers[0].start()
                delay(3_000)
                repeat(6) { batch ->
                    val edits = (0 until 100).map { ItemEdit(workClassKey("class-$batch-$it"), 0, workClassBody("class-$batch-$it")) }
                    assertIs<ChangeOutcome.Accepted>(
                        fleet.routers[0]
                            .service.store
                            .change(ChangeRequest("batch-$batch", "operator", edits)),
                    )
                }
                fleet.table.isAvailable = false

                fleet.routers[1].start()
                delay(3_000)

                assertEquals(fleet.routers[0].service.current(), fleet.routers[1].service.current())
                assertEquals(
                    600,
                    fleet.routers[1]
                        .service
                        .current()
                        .workClasses.size,
                )
                assertEquals(null, assertIs<ConfigurationReadiness.Ready>(fleet.routers[1].service.readiness()).ageMs)
            }

        @Test
        fun `is not ready and reports the reason when no peer has a configuration either`() =
            runTest {
                val fleet = ConfigurationFleet(this, size = 2)
                fleet.table.isAvailable = false
                fleet.startAll()
                delay(10_000)

                val readiness = assertIs<ConfigurationReadiness.NotReady>(fleet.routers[0].service.readiness())

                assertEquals("table: table is down; none of 1 connected peers has a configuration", readiness.reason)
                fleet.table.isAvailable = true
                delay(3_000)
                assertIs<ConfigurationReadiness.Ready>(fleet.routers[0].service.readiness())
            }
    }

    @Nested
    inner class `routers that all start at once` {
        @Test
        fun `spread their reads of the table although the router count is unknown at first`() =
            runTest {
                val fleet = ConfigurationFleet(this, size = 40, routerCountKnownFromMs = 100).apply { startAll() }
                val loadedRouters = { fleet.routers.count { it.service.replica.isLoaded } }
                delay(99)
                val loadedBeforeCountKnown = loadedRouters()
                delay(161)
                val loadedHalfway = loadedRouters()
                delay(400)

                assertEquals(0, loadedBeforeCountKnown)
                assertTrue(loadedHalfway in 8..32, "$loadedHalfway of 40 routers loaded halfway")
                assertEquals(40, loadedRouters())
            }
    }

    @Nested
    inner class `a partitioned router` {
        @Test
        fun `keeps its last configuration, reports its age and catches up without reverting`() =
            runTest {
                val fleet = ConfigurationFleet(this).apply { startAll() }
                delay(3_000)
                val first = assertIs<ChangeOutcome.Accepted>(fleet.routers[0].changeWorkClass(key, 0, 300, "change-1"))
                delay(2_000)
                val partitioned = fleet.routers[2]
                fleet.network.partition(listOf(partitioned.id), fleet.routers.take(2).map { it.id })
                partitioned.tableLink.isPartitioned = true
                val second = assertIs<ChangeOutcome.Accepted>(fleet.routers[0].changeWorkClass(key, first.sequence, 400, "change-2"))
                delay(3_600_000)
                val duringPartition = assertIs<ConfigurationReadiness.Ready>(partitioned.service.readiness())
                val rejected = partitioned.changeWorkClass(key, first.sequence, 500, "change-3")
                val versionDuringPartition = partitioned.localVersion(key)

                fleet.network.heal()
                delay(2_500)

                assertEquals(first.sequence, versionDuringPartition)
                assertTrue(duringPartition.ageMs!! in 3_590_000..3_610_000)
                assertIs<ChangeOutcome.Unavailable>(rejected)
                assertEquals(second.sequence, partitioned.localVersion(key))
            }
    }
}
