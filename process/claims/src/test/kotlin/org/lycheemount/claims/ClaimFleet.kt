package org.lycheemount.claims

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import org.lycheemount.common.Clock
import org.lycheemount.common.DiscardingEventLog
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerHandler
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply
import org.lycheemount.platform.TableService
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableLink
import org.lycheemount.testing.FakeTableService
import kotlin.random.Random

/** Routers with claim registries in virtual time, on a network and a table with faults. */
internal class ClaimFleet(
    private val testScope: TestScope,
    routers: Int = 5,
    seed: Int = 1,
    val options: ClaimOptions = ClaimOptions(partitions = 4, callTimeoutMs = 100, claimTimeoutMs = 1_500, refreshIntervalMs = 5_000),
) {
    val clock = VirtualClock(testScope)
    val random = Random(seed)
    val network = FakePeerNetwork(testScope.backgroundScope, latencyMs = 1, seed = seed)
    val table = FakeTableService(clock)
    val routers = (1..routers).map { start(it, incarnation = 1) }.toMutableList()
    private val gone = HashSet<RouterIdentity>()

    /** A running router; [kill] cancels all of its coroutines. */
    inner class Router(
        val number: Int,
        val identity: RouterIdentity,
    ) {
        val scope =
            CoroutineScope(testScope.backgroundScope.coroutineContext + SupervisorJob(testScope.backgroundScope.coroutineContext[Job]))
        val pause = ProcessPause(testScope)
        val link = FakeTableLink(table, testScope.backgroundScope, latencyMs = 2, random = random)
        val messenger: PeerMessenger = RouterScopeMessenger(network.join(identity), scope, pause)
        val claims = createClaims(link, messenger, clock, DiscardingEventLog, { it in gone }, options)
        var isRunning = true
            private set

        fun kill() {
            isRunning = false
            network.leave(identity.routerId)
            scope.cancel()
            link.isPartitioned = true
        }
    }

    fun restart(router: Router): Router {
        if (router.isRunning) router.kill()
        gone += router.identity
        return start(router.number, router.identity.incarnation + 1).also { routers[router.number - 1] = it }
    }

    /** Returns the partition rows in the table, with the VMs that are gone, for failure messages. */
    fun describePartitionRows(): List<String> =
        table.copyRows().filter { it.key.startsWith(PARTITION_PREFIX) }.map { it.value + "gone=${gone.map { g -> g.vmId.value }}" }

    /** Provides evidence that [router] has ended, as its removal from the VM list does. */
    fun confirmGone(router: Router) {
        gone += router.identity
    }

    private fun start(
        number: Int,
        incarnation: Long,
    ): Router {
        val identity =
            RouterIdentity(RouterId("r$number"), VmId("vm$number-$incarnation"), RegionId("g"), ZoneId("z${number % 3}"), incarnation)
        return Router(number, identity).also { it.claims.start(it.scope) }
    }
}

internal class VirtualClock(
    private val scope: TestScope,
) : Clock {
    override fun monotonicMs(): Long = scope.testScheduler.currentTime

    override fun wallClockMs(): Long = 1_700_000_000_000 + scope.testScheduler.currentTime
}

/** Simulates a paused process: delays all messages that a router sends or receives until [untilMs]. */
internal class ProcessPause(
    private val scope: TestScope,
) {
    var untilMs = 0L

    suspend fun awaitEnd() {
        while (scope.testScheduler.currentTime < untilMs) delay(untilMs - scope.testScheduler.currentTime)
    }
}

/** Runs handlers in the scope of the router: they continue after a timeout of the sender and end with the router. */
private class RouterScopeMessenger(
    private val delegate: PeerMessenger,
    private val scope: CoroutineScope,
    private val pause: ProcessPause,
) : PeerMessenger by delegate {
    override suspend fun call(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
        timeoutMs: Long,
    ): PeerReply {
        pause.awaitEnd()
        return delegate.call(to, channel, payload, timeoutMs).also { pause.awaitEnd() }
    }

    override fun register(
        channel: PeerChannel,
        handler: PeerHandler,
    ) = delegate.register(channel) { from, payload ->
        val handlerCall =
            scope.async {
                pause.awaitEnd()
                handler.handle(from, payload).also { pause.awaitEnd() }
            }
        try {
            handlerCall.await()
        } catch (failure: CancellationException) {
            if (handlerCall.isCancelled) awaitCancellation() else throw failure
        }
    }
}
