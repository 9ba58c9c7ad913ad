package org.lycheemount.measure.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.lycheemount.common.Clock
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.ChangeOutcome
import org.lycheemount.config.ChangeRequest
import org.lycheemount.config.ConfigurationPeers
import org.lycheemount.config.ConfigurationService
import org.lycheemount.config.ItemEdit
import org.lycheemount.config.ItemKey
import org.lycheemount.config.ItemKind
import org.lycheemount.membership.MembershipListener
import org.lycheemount.membership.MembershipService
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.VmDirectory
import org.lycheemount.platform.VmList
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableLink
import org.lycheemount.testing.FakeTableService
import kotlin.random.Random

/**
 * Routers with the real membership and configuration services over a network and a table in memory.
 *
 * @param pollOnly baseline: no pushes, no heartbeats and no pulls, only the poll of the table's head row.
 */
internal class ControlFleet(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val size: Int,
    private val pollOnly: Boolean,
    private val seed: Int = 1,
) {
    private val random = Random(seed)
    private val network = FakePeerNetwork(scope, latencyMs = 1, seed = seed)
    private val regions = if (size >= MULTI_REGION_FROM) REGIONS else 1
    val table = MeteredTable(FakeTableService(clock), clock)
    val routers = (0 until size).map { Router(it) }
    private var changeNumber = 0

    inner class Router(
        private val index: Int,
    ) {
        private val region = RegionId("region-${index % regions}")
        private val zone = ZoneId("zone-${index % ZONES}")
        val routerId = RouterId("router-$index")
        private var started = 0
        private var job: Job? = null
        lateinit var configuration: ConfigurationService
        lateinit var messenger: MeteredMessenger
        val link = FakeTableLink(table, scope, latencyMs = 2, random = Random(seed * SEED_STRIDE + index))

        val vm get() = RouterVm(VmId("vm-$index"), routerId, region, zone, "10.0.${index / 250}.${index % 250}", 7000)

        fun start() {
            started++
            val identity = RouterIdentity(routerId, vm.vmId, region, zone, incarnation = clock.wallClockMs())
            val parts = RouterParts(identity, Random(seed * SEED_STRIDE + index * 10 + started))
            job = parts.job
        }

        fun stop() {
            job?.cancel()
            network.leave(routerId)
        }

        private inner class RouterParts(
            identity: RouterIdentity,
            random: Random,
        ) : MembershipListener,
            ConfigurationPeers {
            val job = SupervisorJob(scope.coroutineContext[Job])
            private val messenger = MeteredMessenger(network.join(identity)).also { this@Router.messenger = it }
            private val own =
                ConfigurationService(link, if (pollOnly) Alone(messenger) else messenger, this, clock, FakeEventLog(), random = random)
            private val membership =
                MembershipService(messenger, Directory(), clock, FakeEventLog(), this, random = random) { own.replica.sequence }

            init {
                val routerScope = CoroutineScope(scope.coroutineContext + job)
                configuration = own
                if (!pollOnly) membership.start(routerScope)
                own.start(routerScope)
            }

            override fun routerCount(): Int = if (pollOnly) size else membership.routerCount()

            override fun pushTargets(): List<RouterId> = if (pollOnly) emptyList() else membership.pushTargets()

            override fun onConfigurationSequence(
                from: RouterId,
                sequence: Long,
            ) = own.onPeerSequence(from, sequence)
        }
    }

    private inner class Directory : VmDirectory {
        override suspend fun list(): TableResult<VmList> =
            TableResult.Answered(VmList(routers.map { it.vm }, emptyList(), clock.wallClockMs()))
    }

    /** Hides the other routers from a service that must learn from the table only. */
    private class Alone(
        private val inner: PeerMessenger,
    ) : PeerMessenger by inner {
        override fun connectedPeers(): List<RouterIdentity> = emptyList()
    }

    /** Stores [count] teams, 100 at a time, through the first router. */
    suspend fun fill(count: Int) {
        for (batch in (0 until count).chunked(TEAMS_PER_CHANGE)) {
            val edits = batch.map { ItemEdit(ItemKey(ItemKind.TEAM, "team-$it"), 0, teamBody("team-$it", 0)) }
            val outcome =
                routers
                    .first()
                    .configuration.store
                    .change(ChangeRequest("fill-${batch.first()}", "measure", edits))
            check(outcome is ChangeOutcome.Accepted) { "$outcome" }
        }
    }

    /** Changes a random team through [router] and returns the accepted sequence. */
    suspend fun change(router: Router): Long {
        val team =
            router.configuration
                .current()
                .teams.keys
                .random(random)
                .value
        val key = ItemKey(ItemKind.TEAM, team)
        val version =
            router.configuration.replica
                .find(key)!!
                .version
        val edit = ItemEdit(key, version, teamBody(team, ++changeNumber))
        val outcome = router.configuration.store.change(ChangeRequest("change-$changeNumber", "measure", listOf(edit)))
        check(outcome is ChangeOutcome.Accepted) { "$outcome" }
        return outcome.sequence
    }

    fun randomRouter(among: List<Router> = routers): Router = among.random(random)

    /** Separates [group] from the other routers and from the table. */
    fun cut(group: List<Router>) {
        network.cut(group.map { it.routerId }, (routers - group.toSet()).map { it.routerId })
        group.forEach { it.link.cut = true }
    }

    fun heal() {
        network.heal()
        routers.forEach { it.link.cut = false }
    }

    private companion object {
        private const val REGIONS = 10
        private const val MULTI_REGION_FROM = 100
        private const val ZONES = 25
        private const val TEAMS_PER_CHANGE = 100
        private const val SEED_STRIDE = 10_000
    }
}

internal fun teamBody(
    id: String,
    revision: Int,
): JsonObject =
    buildJsonObject {
        put("teamId", id)
        put("budgetId", "budget-$id-$revision")
    }
