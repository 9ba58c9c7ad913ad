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
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableTransaction
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakeTableService
import kotlin.random.Random

/** Routers that are driven one by one. */
internal class OriginCaseFleet(
    val test: TestScope,
) {
    val clock =
        object : Clock {
            override fun monotonicMs() = test.testScheduler.currentTime

            override fun wallClockMs() = 1_700_000_000_000 + test.testScheduler.currentTime
        }
    val table = FakeTableService(clock)
    val usage = TableUsage()
    val log = FakeEventLog()
    var routerCount = 7
    private val jobs = ArrayList<CoroutineScope>()

    /** Starts a router that lists servers of [versions], and waits until it has read the table. */
    suspend fun start(
        id: String,
        versions: Set<SoftwareVersion>,
    ): OriginCaseRouter {
        val scope = CoroutineScope(test.coroutineContext + Job())
        jobs += scope
        val link = FaultyTable(table, scope, Random(1), usage)
        val identity = RouterIdentity(RouterId(id), VmId(id), RegionId("g"), ZoneId("z"), clock.wallClockMs())
        val origins = SharedStreamOrigins(link, identity, clock, log, link.eras) { routerCount }
        origins.start(scope)
        return OriginCaseRouter(origins, link, scope).also {
            it.list(versions)
            delay(SETTLE_MS)
        }
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
) {
    fun noticeEra() = link.noticeEra()

    fun list(versions: Set<SoftwareVersion>) = origins.onBackendServers(versions.map { serverOf(it) })

    fun begin(
        attemptId: CallerAttemptId,
        version: SoftwareVersion,
    ) = origins.onStreamBegun(attemptId, SERVICE, version)

    suspend fun originOf(attemptId: CallerAttemptId?) = origins.originOf(attemptId, SERVICE, PATIENCE_MS)

    fun kill() = scope.cancel()
}

/** Runs [body] in virtual time. */
internal fun originCaseTest(body: suspend OriginCaseFleet.() -> Unit) =
    runTest {
        val fleet = OriginCaseFleet(this)
        try {
            fleet.body()
        } finally {
            fleet.stop()
        }
    }

/** Time in which routers read and write what is due. */
internal const val SETTLE_MS = 3_000L
private const val PATIENCE_MS = 2_000L
