package org.lycheemount.measure.claims

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.test.TestScope
import org.lycheemount.claims.createClaims
import org.lycheemount.common.Clock
import org.lycheemount.common.DiscardingEventLog
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableLink
import org.lycheemount.testing.FakeTableService

/** A fleet of 7 routers in 4 zones, as the Association runs it, in virtual time. */
internal class ClaimsFleet(
    private val scope: TestScope,
) {
    val clock = VirtualClock(scope)
    val network = FakePeerNetwork(scope.backgroundScope)
    val table = FakeTableService(clock)
    val routers = (0 until ROUTERS).map { Router(it) }
    private val goneRouters = HashSet<RouterIdentity>()

    inner class Router(
        val number: Int,
    ) {
        val zone = number % ZONES
        val identity = RouterIdentity(RouterId("r$number"), VmId("vm$number"), RegionId("region"), ZoneId("zone$zone"), 1)
        val scope = CoroutineScope(this@ClaimsFleet.scope.backgroundScope.run { coroutineContext + SupervisorJob(coroutineContext[Job]) })
        val tableLink = FakeTableLink(table, this@ClaimsFleet.scope.backgroundScope)
        val claims = createClaims(tableLink, network.join(identity), clock, DiscardingEventLog, { it in goneRouters })
        var isAlive = true
            private set

        fun crash() {
            isAlive = false
            network.leave(identity.routerId)
            tableLink.isPartitioned = true
            scope.cancel()
        }
    }

    fun start() = routers.forEach { it.claims.start(it.scope) }

    /** Makes the claims of all routers treat the process of [router] as gone. */
    fun confirmGone(router: Router) {
        goneRouters += router.identity
    }

    /** Isolates the routers of [zone] from the other routers and from the table. */
    fun isolateZone(zone: Int) {
        val (inside, outside) = routers.partition { it.zone == zone }
        network.partition(inside.map { it.identity.routerId }, outside.map { it.identity.routerId })
        inside.forEach { it.tableLink.isPartitioned = true }
    }

    fun heal() {
        network.heal()
        table.isAvailable = true
        routers.filter { it.isAlive }.forEach { it.tableLink.isPartitioned = false }
    }

    fun canReach(
        from: Router,
        to: Router,
    ): Boolean = from.isAlive && to.isAlive && (from.zone == to.zone || from.tableLink.isPartitioned == to.tableLink.isPartitioned)

    fun canReachTable(router: Router): Boolean = router.isAlive && !router.tableLink.isPartitioned && table.isAvailable

    private companion object {
        private const val ROUTERS = 7
        private const val ZONES = 4
    }
}

internal class VirtualClock(
    private val scope: TestScope,
) : Clock {
    override fun monotonicMs(): Long = scope.testScheduler.currentTime

    override fun wallClockMs(): Long = EPOCH_MS + scope.testScheduler.currentTime

    private companion object {
        private const val EPOCH_MS = 1_700_000_000_000L
    }
}
