package org.lycheemount.origins

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.withContext
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.CallerAttemptId
import org.lycheemount.common.Clock
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.ServiceId
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableService
import org.lycheemount.testing.PausableDispatcher
import kotlin.coroutines.ContinuationInterceptor
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.random.Random

internal val SERVICE = ServiceId("model")
internal val V1 = SoftwareVersion("v1")
internal val V2 = SoftwareVersion("v2")

/** Returns a listed server of [SERVICE]. */
internal fun serverOf(
    version: SoftwareVersion,
    id: String = "s-${version.value}",
) = BackendServer(
    BackendServerId(id),
    VmId(id),
    ZoneId("z"),
    "127.0.0.1",
    port = 1,
    targets = setOf(BackendTarget.Service(SERVICE)),
    softwareVersion = version,
)

/**
 * Routers, servers of several versions and callers that resume broken streams at any router, in virtual time.
 *
 * @param isEnabled whether routers tell versions apart.
 * @param isFreezable whether routers can be frozen.
 * @param hasPeerLinks whether routers reach each other, and not only the table.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class VersionedTrafficFleet(
    private val scope: CoroutineScope,
    private val scheduler: TestCoroutineScheduler,
    seed: Int,
    routerCount: Int,
    private val isEnabled: Boolean = true,
    private val isFreezable: Boolean = false,
    private val hasPeerLinks: Boolean = false,
) {
    val clock =
        object : Clock {
            override fun monotonicMs() = scheduler.currentTime

            override fun wallClockMs() = TABLE_EPOCH_MS + scheduler.currentTime
        }
    val table = FakeTableService(clock)
    val usage = TableUsage()
    val random = Random(seed)
    val log = FakeEventLog()
    private val peers = FakePeerNetwork(scope)
    val routers = List(routerCount) { Router(it) }
    private val servers = ArrayList<Server>()
    private val streams = LinkedHashSet<Stream>()
    private var streamCount = 0
    private var tableUnstableAtMs = Long.MIN_VALUE / 2

    /** Streams with events of servers of several versions. */
    var joined = 0
        private set
    val newStreams = Share()

    /** Broken streams that were resumed at routers in touch while two servers of their version served. */
    val resumedInTouch = Share()

    /** Those of [resumedInTouch] whose streams were in progress at a router in touch until they broke, so that it could record them. */
    val resumedRecordable = Share()

    /** Those of [resumedInTouch] that a router or the table could still know: not all routers ended in the outage of the table they began in. */
    val resumedKnowable = Share()

    /** Streams that began while the table has been away. */
    private val begunWithoutTable = ArrayList<Stream>()

    /** Attempts to resume a stream at any router while a server of its version serves. */
    val resumedAnywhere = Share()

    /** Where most streams are resumed; null for any router alike. */
    var busiestRouter: Router? = null

    /** Attempts to resume a stream at [busiestRouter]. */
    val resumedAtBusiest = Share()

    /** Adds [count] servers of [version]. */
    fun addServers(
        version: SoftwareVersion,
        count: Int,
    ) = repeat(count) { servers += Server("s${servers.size}", version) }

    /** Replaces a server of [old] with one of [new]. The old one stays for a while without being listed. */
    fun replaceOne(
        old: SoftwareVersion,
        new: SoftwareVersion,
    ) {
        addServers(new, 1)
        val leaving = servers.firstOrNull { it.version == old && it.isListed } ?: return
        leaving.isListed = false
        scope.launch {
            delay(LEAVING_MS)
            end(leaving)
        }
    }

    fun startRouters() = routers.forEach { it.start() }

    /** Kills [killed] at once and starts them again after [forMs]. */
    suspend fun restart(
        killed: List<Router>,
        forMs: Long,
    ) {
        killed.forEach { it.kill() }
        delay(forMs)
        killed.forEach { it.start() }
    }

    /** Breaks a [share] of the streams, as resets of connections do. */
    fun breakStreams(share: Double) = streams.filter { random.nextDouble() < share }.forEach(::breakOff)

    /** Lets the table fail for [forMs]. */
    suspend fun failTable(forMs: Long) {
        table.isAvailable = false
        delay(forMs)
        table.isAvailable = true
        begunWithoutTable.clear()
        tableUnstableAtMs = clock.monotonicMs()
    }

    /** Lets the table be away for [awayMs] and come back from [copy]. */
    suspend fun restoreTable(
        copy: FakeTableService.Copy,
        awayMs: Long,
    ) {
        table.isAvailable = false
        delay(awayMs)
        table.comeBackFrom(copy)
        table.isAvailable = true
        tableUnstableAtMs = clock.monotonicMs()
    }

    /** Notes that the table is disturbed now. */
    fun onTableDisturbed() {
        tableUnstableAtMs = clock.monotonicMs()
    }

    /** Sends [perSecond] new streams a second for [forMs]. */
    suspend fun sendStreams(
        perSecond: Int,
        forMs: Long,
    ) {
        val endsAtMs = clock.monotonicMs() + forMs
        while (clock.monotonicMs() < endsAtMs) {
            delay(random.nextLong(0, 2_000L / perSecond + 1))
            scope.launch { beginStream() }
        }
    }

    private suspend fun beginStream() {
        val router = routers.filter { it.isUp }.randomOrNull(random) ?: return
        val usable = router.handle { it.usableVersions(SERVICE) }
        if (!router.isUp) return
        val server = router.listed.filter { it.isUp && (usable == null || it.version in usable) }.randomOrNull(random)
        if (router.isInTouch()) newStreams.count(server != null)
        if (server == null) return
        val run = router.run
        delay(random.nextLong(30, 300))
        if (!server.isUp || !router.isUp || router.run != run) return
        val stream = Stream(CallerAttemptId("a${streamCount++}"), durationMs = random.nextLong(100, MAX_STREAM_MS))
        router.handle { it.onStreamBegun(stream.attemptId, SERVICE, server.version) }
        if (!table.isAvailable) begunWithoutTable += stream
        if (!router.isUp || router.run != run) return
        run(stream, router, server)
    }

    private fun run(
        stream: Stream,
        router: Router,
        server: Server,
    ) {
        if (stream.versions.isNotEmpty() && server.version !in stream.versions) joined++
        stream.versions += server.version
        stream.router = router
        stream.server = server
        streams += stream
        val turn = ++stream.turn
        scope.launch {
            delay(stream.durationMs)
            if (stream.turn == turn) streams -= stream
        }
    }

    private fun breakOff(stream: Stream) {
        streams -= stream
        if (stream.turn == 1) stream.wasRecordable = stream.router?.isReachingTable() ?: false
        stream.turn++
        scope.launch { takeUp(stream) }
    }

    /** Resumes [stream] until it goes on, as its caller does. */
    private suspend fun takeUp(stream: Stream) {
        var wasAtRouterInTouch = false
        repeat(CALLER_RETRIES) {
            delay(random.nextLong(20, MAX_RETRY_DELAY_MS))
            val attempt = resume(stream) ?: return@repeat
            wasAtRouterInTouch = wasAtRouterInTouch || attempt.isCounted
            if (attempt.goesOn) {
                if (wasAtRouterInTouch) countInTouch(stream, goesOn = attempt.isCounted)
                return
            }
        }
        if (wasAtRouterInTouch) countInTouch(stream, goesOn = false)
    }

    private fun countInTouch(
        stream: Stream,
        goesOn: Boolean,
    ) {
        resumedInTouch.count(goesOn)
        if (stream.wasRecordable) resumedRecordable.count(goesOn)
        if (!stream.isLost) resumedKnowable.count(goesOn)
    }

    /** Returns null if no router took the attempt. */
    private suspend fun resume(stream: Stream): Resumption? {
        val busiest = busiestRouter?.takeIf { it.isUp && random.nextDouble() < BUSIEST_SHARE }
        val router = busiest ?: routers.filter { it.isUp }.randomOrNull(random) ?: return null
        val wasInTouch = router.isInTouch()
        val serving = servers.count { it.isUp && it.isListed && it.version in stream.versions }
        val run = router.run
        val origin = router.handle { it.originOf(stream.attemptId, SERVICE, PATIENCE_MS) }
        if (!router.isUp || router.run != run) return null
        val usable =
            when (origin) {
                is StreamOrigin.Known -> router.listed.filter { it.isUp && it.version == origin.version }
                is StreamOrigin.Unknown -> emptyList()
                StreamOrigin.AnyVersion -> router.listed.filter { it.isUp }
            }
        val server = usable.randomOrNull(random)
        if (serving >= 1) resumedAnywhere.count(server != null)
        if (router === busiestRouter) resumedAtBusiest.count(server != null)
        if (server != null) run(stream, router, server)
        return Resumption(server != null, isCounted = wasInTouch && router.isInTouch() && serving >= 2)
    }

    private fun end(server: Server) {
        server.isUp = false
        server.isListed = false
        streams.filter { it.server === server }.forEach(::breakOff)
    }

    /** One router over all of its runs. */
    inner class Router(
        private val index: Int,
    ) {
        private var job: Job? = null
        private var startedAtMs = 0L
        private var partitionedAtMs = Long.MIN_VALUE / 2
        private var link: FaultyTable? = null
        private val dispatcher = if (isFreezable) PausableDispatcher(dispatcherOf(scope)) else null
        private var thawedAtMs = Long.MIN_VALUE / 2
        var origins: StreamOrigins = UnversionedStreamOrigins
            private set
        var listed = emptyList<Server>()
            private set
        var isUp = false
            private set
        var run = 0
            private set

        /** Faults of the connection to the table, also of later runs. */
        var faults: (FaultyTable) -> Unit = {}
            set(value) {
                field = value
                link?.let(value)
                partitionedAtMs = clock.monotonicMs()
            }

        fun start() {
            if (isUp) return
            val runJob = Job(scope.coroutineContext[Job])
            val runScope = CoroutineScope(scope.coroutineContext + runJob + (dispatcher ?: EmptyCoroutineContext))
            job = runJob
            run++
            isUp = true
            startedAtMs = clock.monotonicMs()
            listed = emptyList()
            val runLink = FaultyTable(table, scope, Random(random.nextInt()), usage).also(faults)
            link = runLink
            val identity = RouterIdentity(RouterId("r$index"), VmId("r$index"), RegionId("g"), ZoneId("z"), clock.wallClockMs())
            val remote = if (isFreezable) RemoteTable(runLink, scope) else runLink
            val messenger = (if (hasPeerLinks) peers else FakePeerNetwork(scope)).join(identity)
            val shared = SharedStreamOrigins(remote, identity, clock, log, runLink.eras, messenger) { routers.size }
            if (isEnabled) {
                origins = shared
                shared.start(runScope)
            }
            runScope.launch {
                delay(random.nextLong(1, 100))
                while (true) {
                    if (table.isAvailable && !runLink.isPartitioned) {
                        runLink.noticeEra()
                        listed = servers.filter { it.isListed }
                        shared.onBackendServers(listed.map { serverOf(it.version, it.id) })
                    }
                    delay(POLL_INTERVAL_MS)
                }
            }
        }

        fun kill() {
            if (!isUp) return
            job?.cancel()
            peers.leave(RouterId("r$index"))
            streams.filter { it.router === this }.forEach(::breakOff)
            isUp = false
            if (routers.none { it.isUp }) begunWithoutTable.forEach { it.isLost = true }
        }

        /** Stops all work of this router, also in its later runs, until [thaw]. Its requests wait. */
        fun freeze() = checkNotNull(dispatcher).pause()

        fun thaw() {
            checkNotNull(dispatcher).resume()
            thawedAtMs = clock.monotonicMs()
        }

        /** Runs [work] of a request as this router does, thus after it has thawed. */
        suspend fun <T> handle(work: suspend (StreamOrigins) -> T): T =
            if (dispatcher == null) work(origins) else withContext(dispatcher) { work(origins) }

        fun isInTouch(): Boolean = isReachingTable() && startedAtMs < clock.monotonicMs() - CONTACT_MS

        /** Whether this run's connection to the table has been sound for a while. */
        fun isReachingTable(): Boolean {
            val sinceMs = clock.monotonicMs() - CONTACT_MS
            val isLinkSound = link?.isPartitioned == false && partitionedAtMs < sinceMs
            val isRunning = dispatcher?.isPaused != true && thawedAtMs < sinceMs
            return isUp && isRunning && isLinkSound && table.isAvailable && tableUnstableAtMs < sinceMs
        }
    }

    /** One server. */
    class Server(
        val id: String,
        val version: SoftwareVersion,
    ) {
        var isListed = true
        var isUp = true
    }

    /** One caller's stream over all of its attempts. */
    class Stream(
        val attemptId: CallerAttemptId,
        val durationMs: Long,
    ) {
        val versions = HashSet<SoftwareVersion>()
        var router: Router? = null
        var server: Server? = null
        var turn = 0
        var wasRecordable = false

        /** Whether all routers ended while the table was away in which it began. */
        var isLost = false
    }

    /** An attempt to resume a stream. It is counted if it was made at a router in touch while two servers of the version served. */
    private class Resumption(
        val goesOn: Boolean,
        val isCounted: Boolean,
    )

    /** Share of attempts that succeeded. */
    class Share {
        var total = 0
            private set
        var succeeded = 0
            private set

        val value: Double get() = if (total == 0) 0.0 else succeeded.toDouble() / total

        fun count(isSuccess: Boolean) {
            total++
            if (isSuccess) succeeded++
        }

        operator fun plusAssign(other: Share) {
            total += other.total
            succeeded += other.succeeded
        }

        override fun toString() = "$succeeded of $total"
    }

    companion object {
        private fun dispatcherOf(scope: CoroutineScope) = scope.coroutineContext[ContinuationInterceptor] as CoroutineDispatcher

        private const val TABLE_EPOCH_MS = 1_700_000_000_000
        private const val POLL_INTERVAL_MS = 1_000L
        private const val LEAVING_MS = 3_000L
        private const val MAX_STREAM_MS = 5_000L
        private const val CALLER_RETRIES = 3
        private const val BUSIEST_SHARE = 0.7
        private const val MAX_RETRY_DELAY_MS = 3_000L
        private const val PATIENCE_MS = 2_000L

        /** A router is in touch that has run and reached a sound table for this long. */
        private const val CONTACT_MS = 3_000L
    }
}
