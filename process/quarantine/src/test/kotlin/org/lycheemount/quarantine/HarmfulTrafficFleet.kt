package org.lycheemount.quarantine

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
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
import org.lycheemount.testing.FakeTableService
import kotlin.random.Random

internal val HARMFUL = SegmentId(99)

/** Time in which what a router learns reaches the others, as the platform states it. */
internal const val CONTACT_MS = 3_000L

/**
 * Routers that share a table, and servers that end when they begin to respond to a harmful request, in virtual time. A router sends a
 * request to a second server if the first one fails, and a caller sends it once more.
 *
 * @param isHarmfulFirst whether the harmful segment is the first of its prompts, in place of one that sound requests have.
 * @param crashAfterMs time from the first bytes of a response after which a server ends that responds to a harmful request.
 * @param waitMs time until a server begins to respond.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class HarmfulTrafficFleet(
    private val scope: CoroutineScope,
    scheduler: TestCoroutineScheduler,
    seed: Int,
    private val isEnabled: Boolean,
    private val crashAfterMs: Long,
    private val isHarmfulFirst: Boolean = false,
    private val waitMs: LongRange = 20L until 200L,
) {
    private val clock =
        object : Clock {
            override fun monotonicMs() = scheduler.currentTime

            override fun wallClockMs() = TABLE_EPOCH_MS + scheduler.currentTime
        }
    val table = FakeTableService(clock)
    private val random = Random(seed)
    private val servers = List(SERVER_COUNT) { Server(it) }
    private val routers = List(ROUTER_COUNT) { startRouter(it) }
    val crashTimesMs = ArrayList<Long>()
    val harmfulSendTimesMs = ArrayList<Long>()
    var soundCount = 0
        private set

    /** Sound requests that were sent to a server at the caller's first try. */
    var soundSentFirst = 0
        private set

    fun startRouter(index: Int): PromptQuarantine {
        if (!isEnabled) return DisabledPromptQuarantine
        val identity = RouterIdentity(RouterId("r$index"), VmId("r$index"), RegionId("g"), ZoneId("z"), clock.wallClockMs())
        val hasEnded = { server: BackendServer -> servers.none { it.isUp && it.describe() == server } }
        return SharedPromptQuarantine(table, FakeRowFeed(table, clock::wallClockMs), identity, clock, FakeEventLog()) { hasEnded(it) }
            .also { it.start(scope) }
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

    /** Beside sound requests, sends [perWave] harmful ones at the same moment, again and again. */
    suspend fun runWaves(perWave: Int) =
        coroutineScope {
            launch { run(harmfulShare = 0.0) }
            val endsAtMs = clock.monotonicMs() + TRAFFIC_MS
            delay(TRAFFIC_MS / 6)
            while (clock.monotonicMs() < endsAtMs) {
                repeat(perWave) { scope.launch { sendAsCaller(nextRequest(harmfulShare = 1.0)) } }
                delay(WAVE_INTERVAL_MS)
            }
        }

    /** Harmful requests that were sent when the routers had had time to learn of the fifth crash. */
    fun lateHarmfulSends(): Int = harmfulSendTimesMs.count { it > (crashTimesMs.getOrNull(4) ?: return 0) + CONTACT_MS }

    /** Describes a server that refuses connections. */
    fun endedServer(index: Int): BackendServer = Server(SERVER_COUNT + index).describe()

    fun crashAtOnce(count: Int) =
        servers
            .filter { it.isUp }
            .shuffled(random)
            .take(count)
            .forEach(::crash)

    private fun nextRequest(harmfulShare: Double): Request {
        val isHarmful = random.nextDouble() < harmfulShare
        val common = listOf(SegmentId(1L + random.nextInt(FIRST_SEGMENTS)), SegmentId(100L + random.nextInt(SECOND_SEGMENTS)))
        val own = SegmentId(random.nextLong(1_000_000, Long.MAX_VALUE))
        val shared =
            when {
                !isHarmful -> common
                isHarmfulFirst -> listOf(HARMFUL, common.last())
                else -> common + HARMFUL
            }
        return Request(PromptSegments(shared, own), isHarmful)
    }

    private suspend fun sendAsCaller(request: Request) {
        if (!request.isHarmful) soundCount++
        repeat(CALLER_TRIES) { attempt ->
            if (sendAsRouter(routers.random(random), request, isFirstTry = attempt == 0)) return
            delay(CALLER_RETRY_MS)
        }
    }

    private suspend fun sendAsRouter(
        router: PromptQuarantine,
        request: Request,
        isFirstTry: Boolean,
    ): Boolean {
        repeat(ROUTER_ATTEMPTS) { attempt ->
            val server = servers.filter { it.isUp }.randomOrNull(random) ?: return false
            if (router.refusalToSend(request.prompt) != null) return false
            if (!request.isHarmful && isFirstTry && attempt == 0) soundSentFirst++
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
        delay(random.nextLong(waitMs.first, waitMs.last + 1))
        if (request.isHarmful) {
            delay(crashAfterMs)
            if (!broken.isCompleted) crash(server)
        }
        val durationMs = random.nextLong(50, MAX_STREAM_MS)
        val isBroken = withTimeoutOrNull(minOf(durationMs, CRASH_WINDOW_MS)) { broken.await() } != null
        server.waiting -= request
        if (isBroken) {
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

    companion object {
        private const val TABLE_EPOCH_MS = 1_700_000_000_000
        private const val ROUTER_COUNT = 7
        private const val SERVER_COUNT = 10
        private const val ROUTER_ATTEMPTS = 2
        private const val CALLER_TRIES = 2
        private const val CALLER_RETRY_MS = 100L
        private const val SERVER_DOWN_MS = 3_000L
        private const val MAX_STREAM_MS = 5_000L
        private const val FIRST_SEGMENTS = 3
        private const val SECOND_SEGMENTS = 81
        private const val MEAN_INTERVAL_MS = 70L
        private const val WAVE_INTERVAL_MS = 300L
        const val TRAFFIC_MS = 30_000L
    }
}
