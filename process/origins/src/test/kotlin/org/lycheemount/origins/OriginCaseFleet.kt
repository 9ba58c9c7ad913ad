package org.lycheemount.origins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.lycheemount.common.CallerAttemptId
import org.lycheemount.common.Clock
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableTransaction
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableService
import kotlin.random.Random

/**
 * Routers that are driven one by one.
 *
 * @param hasPeerLinks whether routers reach each other, and not only the table.
 */
internal class OriginCaseFleet(
    val test: TestScope,
    private val hasPeerLinks: Boolean,
) {
    val clock =
        object : Clock {
            override fun monotonicMs() = test.testScheduler.currentTime

            override fun wallClockMs() = 1_700_000_000_000 + test.testScheduler.currentTime
        }
    val table = FakeTableService(clock)
    val usage = TableUsage()
    val log = FakeEventLog()
    private val peers = FakePeerNetwork(test)

    /** Number of calls between routers. */
    var peerCalls = 0
        private set
    var routerCount = 7
    private val jobs = ArrayList<CoroutineScope>()
    private val routerIds = LinkedHashSet<RouterId>()

    /** Starts a router that lists servers of [versions], and waits until it has read the table. */
    suspend fun start(
        id: String,
        versions: Set<SoftwareVersion>,
    ): OriginCaseRouter {
        val scope = CoroutineScope(test.coroutineContext + Job())
        jobs += scope
        routerIds += RouterId(id)
        val link = FaultyTable(table, scope, Random(1), usage)
        val identity = RouterIdentity(RouterId(id), VmId(id), RegionId("g"), ZoneId("z"), clock.wallClockMs())
        val origins = SharedStreamOrigins(link, identity, clock, log, link.eras, countingCalls(messengerOf(identity))) { routerCount }
        origins.start(scope)
        return OriginCaseRouter(origins, link, scope, onKill = { peers.leave(identity.routerId) }).also {
            it.list(versions)
            delay(SETTLE_MS)
        }
    }

    private fun messengerOf(identity: RouterIdentity) = (if (hasPeerLinks) peers else FakePeerNetwork(test)).join(identity)

    private fun countingCalls(messenger: PeerMessenger) =
        object : PeerMessenger by messenger {
            override suspend fun call(
                to: RouterId,
                channel: PeerChannel,
                payload: ByteArray,
                timeoutMs: Long,
            ): PeerReply {
                peerCalls++
                return messenger.call(to, channel, payload, timeoutMs)
            }
        }

    /** Blocks all messages between routers for [forMs]. */
    suspend fun interruptPeerLinks(forMs: Long) {
        peers.partition(routerIds, routerIds)
        delay(forMs)
        peers.heal()
    }

    suspend fun writeRow(
        key: String,
        value: String,
    ) = table.commit(TableTransaction("foreign-$key", emptyList(), listOf(RowWrite(key, value))))

    fun rowKeys(prefix: String) = table.copyRows().map { it.key }.filter { it.startsWith(prefix) }

    fun stop() = jobs.forEach { it.cancel() }
}

/** One run of a router. */
internal class OriginCaseRouter(
    val origins: SharedStreamOrigins,
    val link: FaultyTable,
    private val scope: CoroutineScope,
    private val onKill: () -> Unit,
) {
    fun noticeEra() = link.noticeEra()

    fun list(versions: Set<SoftwareVersion>) = origins.onBackendServers(versions.map { serverOf(it) })

    fun begin(
        attemptId: CallerAttemptId,
        version: SoftwareVersion,
    ) = origins.onStreamBegun(attemptId, SERVICE, version)

    suspend fun originOf(attemptId: CallerAttemptId?) = origins.originOf(attemptId, SERVICE, PATIENCE_MS)

    fun kill() {
        scope.cancel()
        onKill()
    }
}

/** Runs [body] in virtual time with routers that reach each other if [hasPeerLinks]. */
internal fun originCaseTest(
    hasPeerLinks: Boolean = false,
    body: suspend OriginCaseFleet.() -> Unit,
) = runTest {
    val fleet = OriginCaseFleet(this, hasPeerLinks)
    try {
        fleet.body()
    } finally {
        fleet.stop()
    }
}

/** Time in which routers read and write what is due. */
internal const val SETTLE_MS = 3_000L
private const val PATIENCE_MS = 2_000L
