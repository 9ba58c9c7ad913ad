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

/** The Association's 7 routers in 4 zones, on virtual time. */
internal class ClaimsFleet(
    private val scope: TestScope,
) {
    val clock = ScopeClock(scope)
    val network = FakePeerNetwork(scope.backgroundScope)
    val table = FakeTableService(clock)
    val routers = (0 until ROUTERS).map { Router(it) }
    private val gone = HashSet<RouterIdentity>()

    inner class Router(
        val number: Int,
    ) {
        val zone = number % ZONES
        val identity = RouterIdentity(RouterId("r$number"), VmId("vm$number"), RegionId("region"), ZoneId("zone$zone"), 1)
        val scope = CoroutineScope(this@ClaimsFleet.scope.backgroundScope.run { coroutineContext + SupervisorJob(coroutineContext[Job]) })
        val link = FakeTableLink(table, this@ClaimsFleet.scope.backgroundScope)
        val claims = createClaims(link, network.join(identity), clock, DiscardingEventLog, { it in gone })
        var alive = true
            private set

        fun die() {
            alive = false
            network.leave(identity.routerId)
            link.isPartitioned = true
            scope.cancel()
        }
    }

    fun start() = routers.forEach { it.claims.start(it.scope) }

    fun confirmGone(router: Router) {
        gone += router.identity
    }

    /** Cuts the routers of [zone] off from the others and from the table. */
    fun cutZone(zone: Int) {
        val (inside, outside) = routers.partition { it.zone == zone }
        network.partition(inside.map { it.identity.routerId }, outside.map { it.identity.routerId })
        inside.forEach { it.link.isPartitioned = true }
    }

    fun heal() {
        network.heal()
        table.isAvailable = true
        routers.filter { it.alive }.forEach { it.link.isPartitioned = false }
    }

    fun reaches(
        from: Router,
        to: Router,
    ): Boolean = from.alive && to.alive && (from.zone == to.zone || from.link.isPartitioned == to.link.isPartitioned)

    fun reachesTable(router: Router): Boolean = router.alive && !router.link.isPartitioned && table.isAvailable

    private companion object {
        private const val ROUTERS = 7
        private const val ZONES = 4
    }
}

internal class ScopeClock(
    private val scope: TestScope,
) : Clock {
    override fun monotonicMs(): Long = scope.testScheduler.currentTime

    override fun wallClockMs(): Long = EPOCH_MS + scope.testScheduler.currentTime

    private companion object {
        private const val EPOCH_MS = 1_700_000_000_000L
    }
}
