package org.lycheemount.quarantine

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Clock
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakeRowFeed
import org.lycheemount.testing.FakeStoreEras
import org.lycheemount.testing.FakeTableService
import kotlin.random.Random

internal val HARMFUL = SegmentId(99)

/**
 * Requests of a [HarmfulTrafficFleet].
 *
 * @property crashAfterMs time from the first bytes of a response after which a server ends that responds to a harmful request.
 * @property isHarmfulFirst whether the harmful segment is the first of its prompts, in place of one that sound requests have.
 * @property harmfulSegmentCount number of harmful segments, each in as many requests as any other.
 * @property secondSegmentCount number of second segments that sound requests have.
 * @property waitMs time until a server begins to respond.
 * @property noticeMs time until a router notices that the connection to a server that has ended is broken.
 * @property serverCount number of servers.
 */
internal data class TrafficPattern(
    val crashAfterMs: Long = 0,
    val isHarmfulFirst: Boolean = false,
    val harmfulSegmentCount: Int = 1,
    val secondSegmentCount: Int = 81,
    val waitMs: LongRange = 20L until 200L,
    val noticeMs: LongRange = 0L..0L,
    val serverCount: Int = 10,
)

/** Time in which what a router learns reaches the others, as the platform states it. */
internal const val CONTACT_MS = 3_000L

/**
 * Routers that share a table, and servers that end when they begin to respond to a harmful request, in virtual time. A router sends a
 * request to a second server if the first one fails, and a caller sends it once more.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class HarmfulTrafficFleet(
    private val scope: CoroutineScope,
    scheduler: TestCoroutineScheduler,
    seed: Int,
    private val isEnabled: Boolean,
    private val pattern: TrafficPattern,
) {
    private val clock =
        object : Clock {
            override fun monotonicMs() = scheduler.currentTime

            override fun wallClockMs() = TABLE_EPOCH_MS + scheduler.currentTime
        }
    val table = FakeTableService(clock)
    private val eras = FakeStoreEras()
    private val random = Random(seed)
    private val servers = List(pattern.serverCount) { Server(it) }
    private var routerScope = scope + Job(scope.coroutineContext[Job])
    private var routers = List(ROUTER_COUNT) { startRouter(it) }
    val crashTimesMs = ArrayList<Long>()
    val harmfulSendTimesMs = ArrayList<Long>()
    private val soundRequests = ArrayList<SoundRequest>()
    val soundCount: Int get() = soundRequests.size

    /** Sound requests that were sent to a server at the caller's first try. */
    val soundSentFirst: Int get() = soundRequests.count { it.isSentFirst }

    fun startRouter(index: Int): PromptQuarantine {
        if (!isEnabled) return DisabledPromptQuarantine
        val identity = RouterIdentity(RouterId("r$index"), VmId("r$index"), RegionId("g"), ZoneId("z"), clock.wallClockMs())
        val hasEnded = { server: BackendServer -> servers.none { it.isUp && it.describe() == server } }
        return SharedPromptQuarantine(table, eras, FakeRowFeed(table, clock::wallClockMs), identity, clock, FakeEventLog()) { hasEnded(it) }
            .also { it.start(routerScope) }
    }

    /** All routers get a response of the store. */
    fun noticeEra() = eras.notice(table.era)

    /** Ends all routers and starts as many, which know only what the table holds. */
    fun restartRouters() {
        routerScope.cancel()
        routerScope = scope + Job(scope.coroutineContext[Job])
        routers = List(ROUTER_COUNT) { startRouter(it) }
    }

    /** Sends requests for 30 s, of which [harmfulShare] are harmful. */
    suspend fun run(harmfulShare: Double) {
        val endsAtMs = clock.monotonicMs() + TRAFFIC_MS
        while (clock.monotonicMs() < endsAtMs) {
            delay(random.nextLong(1, 2 * MEAN_INTERVAL_MS))
            val request = nextRequest(harmfulShare)
            scope.launch { sendAsCaller(request) }
        }
    }

    /** Beside sound requests, sends [perWave] harmful ones at the same moment, again and again. Calls [onFirstCrash] at the first crash. */
    suspend fun runWaves(
        perWave: Int,
        onFirstCrash: suspend () -> Unit = {},
    ) = coroutineScope {
        launch { run(harmfulShare = 0.0) }
        launch {
            while (crashTimesMs.isEmpty()) delay(1)
            onFirstCrash()
        }
        val endsAtMs = clock.monotonicMs() + TRAFFIC_MS
        delay(TRAFFIC_MS / 6)
        while (clock.monotonicMs() < endsAtMs) {
            repeat(perWave) { scope.launch { sendAsCaller(nextRequest(harmfulShare = 1.0)) } }
            delay(WAVE_INTERVAL_MS)
        }
    }

    /** Share of the sound requests that came later than [afterMs] and were sent to a server at the caller's first try. */
    fun soundShareSentFirst(afterMs: Long): Double =
        soundRequests
            .filter { it.atMs > afterMs }
            .let { later -> later.count { it.isSentFirst }.toDouble() / later.size }

    /** Harmful requests that were sent when the routers had had time to learn of the fifth crash, without faults of their own [sinceMs]. */
    fun lateHarmfulSends(sinceMs: Long = 0): Int =
        harmfulSendTimesMs.count { it > maxOf(crashTimesMs.getOrNull(4) ?: return 0, sinceMs) + CONTACT_MS }

    /** Describes a server that refuses connections. */
    fun endedServer(index: Int): BackendServer = Server(pattern.serverCount + index).describe()

    /** Ends [count] servers at the same moment, or one after the other within [spreadMs]. */
    fun crashAtOnce(
        count: Int,
        spreadMs: Long = 0,
    ) = servers
        .filter { it.isUp }
        .shuffled(random)
        .take(count)
        .forEachIndexed { index, server ->
            scope.launch {
                delay(index * spreadMs / count)
                if (server.isUp) crash(server)
            }
        }

    private fun nextRequest(harmfulShare: Double): Request {
        val isHarmful = random.nextDouble() < harmfulShare
        val common = listOf(SegmentId(1L + random.nextInt(FIRST_SEGMENTS)), SegmentId(100L + random.nextInt(pattern.secondSegmentCount)))
        val own = SegmentId(random.nextLong(1_000_000, Long.MAX_VALUE))
        val harmful =
            if (pattern.harmfulSegmentCount ==
                1
            ) {
                HARMFUL
            } else {
                SegmentId(HARMFUL.value - random.nextInt(pattern.harmfulSegmentCount))
            }
        val shared =
            when {
                !isHarmful -> common
                pattern.isHarmfulFirst -> listOf(harmful, common.last())
                else -> common + harmful
            }
        return Request(PromptSegments(shared, own), isHarmful)
    }

    private suspend fun sendAsCaller(request: Request) {
        val sound = if (request.isHarmful) null else SoundRequest(clock.monotonicMs()).also { soundRequests += it }
        repeat(CALLER_TRIES) { attempt ->
            if (sendAsRouter(routers.random(random), request, onSent = { if (attempt == 0) sound?.isSentFirst = true })) return
            delay(CALLER_RETRY_MS)
        }
    }

    private suspend fun sendAsRouter(
        router: PromptQuarantine,
        request: Request,
        onSent: () -> Unit,
    ): Boolean {
        repeat(ROUTER_ATTEMPTS) {
            val server = servers.filter { it.isUp }.randomOrNull(random) ?: return false
            if (router.refusalToSend(request.prompt) != null) return false
            onSent()
            if (request.isHarmful) harmfulSendTimesMs += clock.monotonicMs()
            if (exchange(router, server, request)) return true
        }
        return false
    }

    private suspend fun exchange(
        router: PromptQuarantine,
        server: Server,
        request: Request,
    ): Boolean {
        val description = server.describe()
        val broken = CompletableDeferred<Unit>()
        server.waiting[request] = broken
        delay(random.nextLong(pattern.waitMs.first, pattern.waitMs.last + 1))
        if (request.isHarmful) {
            delay(pattern.crashAfterMs)
            if (!broken.isCompleted) crash(server)
        }
        val durationMs = random.nextLong(50, MAX_STREAM_MS)
        val isBroken = withTimeoutOrNull(minOf(durationMs, CRASH_WINDOW_MS)) { broken.await() } != null
        server.waiting -= request
        if (isBroken) {
            delay(random.nextLong(pattern.noticeMs.first, pattern.noticeMs.last + 1))
            router.onAttemptBroken(description, request.prompt)
            return false
        }
        router.onPromptServed(request.prompt)
        return true
    }

    private fun crash(server: Server) {
        crashTimesMs += clock.monotonicMs()
        server.waiting.values.forEach { it.complete(Unit) }
        server.waiting.clear()
        server.isUp = false
        scope.launch {
            delay(SERVER_DOWN_MS)
            server.run++
            server.isUp = true
        }
    }

    private class Server(
        val index: Int,
    ) {
        var run = 0
        var isUp = true
        val waiting = HashMap<Request, CompletableDeferred<Unit>>()

        fun describe() =
            BackendServer(BackendServerId("s$index"), VmId("s$index@$run"), ZoneId("z"), "127.0.0.1", port = 1, targets = emptySet())
    }

    private class Request(
        val prompt: PromptSegments,
        val isHarmful: Boolean,
    )

    private class SoundRequest(
        val atMs: Long,
    ) {
        var isSentFirst = false
    }

    companion object {
        private const val TABLE_EPOCH_MS = 1_700_000_000_000
        private const val ROUTER_COUNT = 7
        private const val ROUTER_ATTEMPTS = 2
        private const val CALLER_TRIES = 2
        private const val CALLER_RETRY_MS = 100L
        private const val SERVER_DOWN_MS = 3_000L
        private const val MAX_STREAM_MS = 5_000L
        private const val FIRST_SEGMENTS = 3
        private const val MEAN_INTERVAL_MS = 70L
        private const val WAVE_INTERVAL_MS = 300L
        const val TRAFFIC_MS = 30_000L
    }
}
