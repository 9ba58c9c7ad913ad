package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.Ok
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.RowFeed
import org.lycheemount.platform.RowListener
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreRow
import org.lycheemount.platform.follow
import org.lycheemount.scheduling.createRequestScheduler
import org.lycheemount.testing.FakeEventLog
import kotlin.test.Test
import kotlin.test.assertEquals

@OptIn(ExperimentalCoroutinesApi::class)
class ServerRowListenerTest {
    private val rows = ServerRows()

    /** Runs [steps] beside a router that follows the rows, in virtual time. */
    private fun runRouter(steps: suspend Router.() -> Unit) =
        runTest {
            val router = Router(this)
            val job = launch { rows.follow(router.listener, POLL_INTERVAL_MS, RETRY_INTERVAL_MS) }
            router.steps()
            job.cancel()
        }

    private inner class Router(
        private val scope: TestScope,
    ) {
        private val clock = scope.virtualClock()
        private val dispatcher = WorkDispatcher(createRequestScheduler(ZoneId("z"), seed = 1), clock)
        val listener = ServerRowListener(dispatcher::onBackendServers, clock, FakeEventLog(), ::decodeEntry)

        val leavingServerIds
            get() =
                dispatcher.backendServers
                    .filter { it.leaving }
                    .map { it.backendServerId.value }
                    .toSet()

        val usedServerIds get() = dispatcher.backendServers.map { it.backendServerId.value }.toSet()

        val nowMs get() = scope.currentTime

        /** Distinct values of [usedServerIds] since the start, without those before the first server was known. */
        val usedServerIdsOverTime = ArrayList<Set<String>>()

        /** Advances and records the servers in use. */
        suspend fun advanceBy(durationMs: Long) =
            repeat(durationMs.toInt()) {
                delay(1)
                if (usedServerIds != usedServerIdsOverTime.lastOrNull().orEmpty()) usedServerIdsOverTime += usedServerIds
            }

        suspend fun advanceTo(timeMs: Long) = advanceBy(timeMs - scope.currentTime)

        /** Makes the store unreachable for nine seconds, runs [inOutage] near the end of them, and waits until it responds again. */
        suspend fun passOutage(
            afterMs: Long = 5_000,
            inOutage: () -> Unit,
        ) {
            advanceBy(afterMs)
            rows.isReachable = false
            advanceBy(8_000)
            inOutage()
            advanceBy(1_000)
            rows.isReachable = true
            rows.awaitResponse()
        }

        /** Advances until the router no longer uses [id] and returns the time. */
        suspend fun awaitRemovalOf(id: String): Long {
            while (id in usedServerIds) delay(1)
            return scope.currentTime
        }

        private fun decodeEntry(
            id: String,
            value: ByteArray,
        ) = Ok(BackendServer(BackendServerId(id), VmId(id), ZoneId("z"), "10.0.0.1", 80, emptySet(), value.decodeToString() == LEAVING))
    }

    @Nested
    inner class `an entry that lapsed in an outage of the store` {
        @Test
        fun `is not used any longer than live servers need to register again, whenever the next poll is due`() =
            runRouter {
                rows.register("gone", "live")
                passOutage { rows.remove("gone") }
                val reachedAtMs = nowMs
                assertEquals(setOf("gone", "live"), usedServerIds)

                assertEquals(reachedAtMs + REGISTRATION_MS + LATENCY_MS, awaitRemovalOf("gone"))
                assertEquals(setOf("live"), usedServerIds)
            }

        @Test
        fun `is used without a gap if its server registers again between the last two polls`() =
            runRouter {
                rows.register("slow")
                passOutage { rows.remove("slow") }

                advanceBy(REGISTRATION_MS - 100)
                rows.register("slow")

                advanceBy(5_000)
                assertEquals(listOf(setOf("slow")), usedServerIdsOverTime)
            }

        @Test
        fun `is used until the end of a second outage, in which its server cannot register again`() =
            runRouter {
                rows.register("a")
                passOutage { rows.remove("a") }

                advanceBy(1_500)
                passOutage(afterMs = 0) { }
                rows.register("a")

                advanceBy(5_000)
                assertEquals(listOf(setOf("a")), usedServerIdsOverTime)
            }

        @Test
        fun `is not used any more if its server had announced its shutdown`() =
            runRouter {
                rows.register("leaving", "live")
                advanceTo(3_000)
                rows.announceShutdown("leaving")
                passOutage { rows.remove("leaving") }

                assertEquals(setOf("live"), usedServerIds)
            }
    }

    @Nested
    inner class `an entry that is removed after a failure too short for entries to lapse` {
        @Test
        fun `is not used any more as soon as its removal is read, so that no request reaches a server that has left`() =
            runRouter {
                rows.register("gone", "live")
                advanceTo(5_000)
                rows.isReachable = false
                rows.awaitFailure()
                rows.isReachable = true
                rows.awaitResponse()

                rows.remove("gone")
                rows.awaitResponse()

                assertEquals(setOf("live"), usedServerIds)
            }
    }

    @Nested
    inner class `an entry that lapsed while the store failed every other call` {
        @Test
        fun `is used until live servers have registered again`() =
            runRouter {
                rows.register("a", "b")
                advanceTo(5_000)
                repeat(3) {
                    rows.isReachable = false
                    rows.awaitFailure()
                    rows.isReachable = true
                    rows.awaitResponse()
                }

                rows.remove("a")
                rows.awaitResponse()

                assertEquals(setOf("a", "b"), usedServerIds)
            }
    }

    @Nested
    inner class `an entry that lapsed in an outage during which the router was frozen` {
        @Test
        fun `is used until live servers have registered again, though no call has failed`() =
            runRouter {
                rows.register("a", "b")
                advanceTo(5_000)
                rows.remove("a")
                rows.freezeForMs(9_000)
                rows.awaitResponse()
                assertEquals(setOf("a", "b"), usedServerIds)

                rows.register("a")
                advanceBy(5_000)
                assertEquals(listOf(setOf("a", "b")), usedServerIdsOverTime)
            }
    }

    @Nested
    inner class `a store that comes back from an older copy` {
        @Test
        fun `does not make a leaving server take requests, guarding against a request that reaches a server that has left`() =
            runRouter {
                rows.register("leaving", "gone", "live")
                advanceTo(3_000)
                val copy = rows.copy()
                rows.announceShutdown("leaving")
                rows.remove("gone")
                advanceBy(3_000)
                assertEquals(setOf("leaving", "live"), usedServerIds)

                rows.comeBackFrom(copy)
                rows.awaitResponse()

                assertEquals(setOf("leaving", "gone"), leavingServerIds)
            }

        @Test
        fun `makes a server take requests once it has written its entry again, guarding against a live server that is never used`() =
            runRouter {
                rows.register("lapsed", "live")
                advanceTo(3_000)
                val copy = rows.copy()
                rows.remove("lapsed")
                advanceBy(3_000)
                rows.comeBackFrom(copy)
                rows.awaitResponse()

                rows.register("lapsed")
                rows.awaitResponse()

                assertEquals(emptySet(), leavingServerIds)
                assertEquals(setOf("lapsed", "live"), usedServerIds)
            }
    }

    /** Rows of servers in a store that takes [LATENCY_MS] to respond and does not respond while it is unreachable. */
    private class ServerRows : RowFeed {
        private val entries = HashMap<String, String>()
        private val changes = ArrayList<StoreRow>()
        private var era = 1L
        private var deliveredChanges: Int? = null
        private var responses = 0
        private var failures = 0
        private var frozenMs = 0L
        var isReachable = true

        override val lastResponseTableTimeMs: Long? get() = null

        fun register(vararg ids: String) = ids.forEach { write(it, READY) }

        fun announceShutdown(id: String) = write(id, LEAVING)

        fun remove(id: String) {
            entries.remove(id)
            changes += StoreRow(id, null, changes.size + 1L)
        }

        fun copy(): Map<String, String> = entries.toMap()

        /** Comes back from [copy] in a new era, so that the next poll reads all rows. */
        fun comeBackFrom(copy: Map<String, String>) {
            entries.clear()
            entries += copy
            changes.clear()
            deliveredChanges = null
            era++
        }

        /** Waits for the next response. */
        suspend fun awaitResponse() {
            val before = responses
            while (responses == before) delay(1)
        }

        /** Waits for the next failed call. */
        suspend fun awaitFailure() {
            val before = failures
            while (failures == before) delay(1)
        }

        /** Delays the next call, as if the process were stopped before it. */
        fun freezeForMs(durationMs: Long) {
            frozenMs = durationMs
        }

        override suspend fun poll(listener: RowListener): Boolean {
            delay(frozenMs)
            frozenMs = 0
            if (!isReachable) {
                delay(CONNECT_TIMEOUT_MS)
                failures++
                listener.onFailed("no connection")
                return false
            }
            delay(LATENCY_MS)
            val delivered = deliveredChanges
            when {
                delivered == null -> {
                    listener.onEra(StoreEra(era))
                    listener.onAllRows(entries.map { StoreRow(it.key, it.value.encodeToByteArray(), changes.size.toLong()) })
                }
                delivered < changes.size -> listener.onChangedRows(changes.subList(delivered, changes.size).toList())
            }
            deliveredChanges = changes.size
            listener.onResponded()
            responses++
            return true
        }

        private fun write(
            id: String,
            state: String,
        ) {
            entries[id] = state
            changes += StoreRow(id, state.encodeToByteArray(), changes.size + 1L)
        }
    }

    private companion object {
        private const val POLL_INTERVAL_MS = 1_000L
        private const val RETRY_INTERVAL_MS = 400L
        private const val LATENCY_MS = 4L
        private const val CONNECT_TIMEOUT_MS = 400L

        // Live servers are registered again within about two seconds.
        private const val REGISTRATION_MS = 2_200L
        private const val READY = "ready"
        private const val LEAVING = "leaving"
    }
}
