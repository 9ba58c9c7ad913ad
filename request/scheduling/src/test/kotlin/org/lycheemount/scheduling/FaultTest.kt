package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServer
import org.lycheemount.common.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FaultTest {
    @Nested
    inner class `a stale report that shows free slots to all routers` {
        @Test
        fun `does not make seven routers fill the same slots`() {
            val servers = (0 until 4).map { server(it) }
            val routers = (1L..7L).map { scheduler(servers, seed = it) }
            for (router in routers) learnFleetShareOfOneSeventh(router, servers)

            val starts =
                routers.flatMapIndexed { index, router ->
                    repeat(20) { router.submit(item("r$index-$it", arrivedAtMs = 10_000), 10_000) }
                    servers.forEach {
                        router.onLoadReport(
                            LoadReport(
                                it.backendServerId,
                                900,
                                if (it ==
                                    servers[0]
                                ) {
                                    26
                                } else {
                                    32
                                },
                                0,
                                32,
                            ),
                            10_000,
                        )
                    }
                    router.startsAt(10_000)
                }

            val onFreeServer = starts.count { it.backendServerId == servers[0].backendServerId }
            assertTrue(onFreeServer in 1..14, "$onFreeServer requests for 6 free slots")
        }

        /** Feeds the router reports by which it causes a seventh of the load. */
        private fun learnFleetShareOfOneSeventh(
            router: DefaultRequestScheduler,
            servers: List<BackendServer>,
        ) {
            repeat(16) { router.submit(item("w$it", workClass = delayTolerantClass), 0) }
            val starts = router.startsAt(0)
            starts.forEach { router.onServiceEvent(it.requestId, ServiceEvent.FirstToken, 100) }
            val own = starts.groupingBy { it.backendServerId }.eachCount()
            for (round in 1L..300L) {
                servers.forEach {
                    router.onLoadReport(
                        LoadReport(it.backendServerId, 0, 7 * (own[it.backendServerId] ?: 0), 0, 32),
                        round * 20,
                    )
                }
            }
            router.poll(6_000)
        }
    }

    @Nested
    inner class `a prefix that the engine has evicted` {
        private val prefix = (1L..40L).toList()

        @Test
        fun `stops attracting requests after its eviction event`() {
            val index = PrefixIndex()
            index.store(prefix, 0)

            index.evict(listOf(1L))

            assertEquals(0, index.matchedBlocks(prefix, 1))
        }

        @Test
        fun `stops attracting requests after misses when its eviction event was lost`() {
            val index = PrefixIndex()
            index.store(prefix, 0)
            for (other in 1..50) index.store(List(40) { other * 1_000L + it }, other.toLong())

            repeat(40) { index.onObserved(predictedBlocks = 40, cachedBlocks = 0) }

            assertEquals(0, index.matchedBlocks(prefix, 100))
            assertTrue(index.size < 51 * 40 / 4)
        }

        @Test
        fun `is forgotten after a gap in the events unless it was used since`() {
            val index = PrefixIndex()
            index.store(prefix, 0)
            index.store(listOf(900L), 15_000)

            index.onEventGap(20_000)

            assertEquals(0, index.matchedBlocks(prefix, 20_000))
            assertEquals(1, index.matchedBlocks(listOf(900L), 20_000))
        }
    }

    @Nested
    inner class `a long request under permanent overload by urgent requests` {
        @Test
        fun `finishes within twice its completion target`() {
            val fleet = FakeFleet(serverCount = 2)
            var next = 0
            fleet.run(20_000) { now -> repeat(1) { fleet.submit(item("c${next++}", team = "team-${next % 3}", arrivedAtMs = now)) } }
            fleet.submit(item("long", team = "team-1", workClass = delayTolerantClass, arrivedAtMs = fleet.nowMs))

            fleet.run(140_000) { now -> fleet.submit(item("c${next++}", team = "team-${next % 3}", arrivedAtMs = now)) }

            val finishedAt = fleet.finishedAtMs[RequestId("long")]
            assertTrue(finishedAt != null && finishedAt < 140_000, "finished at $finishedAt")
        }
    }

    @Nested
    inner class `a small team beside a team that overloads the router` {
        @Test
        fun `meets its target for nearly all requests`() {
            val fleet = FakeFleet(serverCount = 2)
            val small = ArrayList<WorkItem>()
            var next = 0
            fleet.run(30_000) { now ->
                repeat(2) { fleet.submit(item("big${next++}", team = "big", arrivedAtMs = now)) }
                if (now % 500 == 0L) small += item("small${next++}", team = "small", arrivedAtMs = now).also(fleet::submit)
            }
            fleet.run(35_000)

            val late =
                small.drop(4).count {
                    (fleet.finishedAtMs[it.requestId] ?: Long.MAX_VALUE) - it.arrivedAtMs >
                        urgentClass.completionTargetMs
                }
            assertTrue(late <= small.size / 20, "$late of ${small.size} late or refused")
            assertTrue(fleet.refused.keys.any { it.value.startsWith("big") })
        }
    }

    @Nested
    inner class `an expired request in the queue` {
        @Test
        fun `is dropped at its deadline and never started`() {
            val scheduler = scheduler(listOf(server(0)))
            repeat(10) { scheduler.submit(item("fill$it"), 0) }
            scheduler.startsAt(0)
            scheduler.submit(item("dead", workClass = delayTolerantClass, deadlineAtMs = 500), 0)
            scheduler.startsAt(0)
            val wakeUp = scheduler.nextWakeUpMs(0)

            val actions = scheduler.poll(500)

            assertTrue(wakeUp != null && wakeUp <= 500)
            assertEquals(
                listOf("dead"),
                actions.filterIsInstance<SchedulerAction.Drop>().map { it.requestId.value }.filter { it == "dead" },
            )
            assertTrue(actions.none { it is SchedulerAction.Start && it.requestId.value == "dead" })
        }

        @Test
        fun `is never started after its caller has disconnected`() {
            val scheduler = scheduler(listOf(server(0)))
            fill(scheduler)
            scheduler.submit(item("gone", workClass = delayTolerantClass), 0)
            scheduler.cancel(RequestId("gone"), 10)

            val started = scheduler.startsAt(10) + (0 until 30).flatMap { finishAndPoll(scheduler, it) }

            assertTrue(started.none { it.requestId.value == "gone" })
        }

        private fun fill(scheduler: DefaultRequestScheduler) {
            repeat(30) { scheduler.submit(item("fill$it", workClass = delayTolerantClass), 0) }
            scheduler.startsAt(0)
        }

        private fun finishAndPoll(
            scheduler: DefaultRequestScheduler,
            index: Int,
        ): List<SchedulerAction.Start> {
            scheduler.onServiceEvent(RequestId("fill$index"), ServiceEvent.Completed(10), 20)
            return scheduler.startsAt(20)
        }
    }

    @Nested
    inner class `callers that retry immediately during an outage` {
        @Test
        fun `do not keep the system overloaded after the outage`() {
            val fleet = FakeFleet(serverCount = 2)
            val arrivals = HashMap<RequestId, Long>()
            var next = 0

            fun send(now: Long) {
                val item = item("r${next++}", team = "team-${next % 4}", arrivedAtMs = now)
                arrivals[item.requestId] = now
                fleet.submit(item)
            }
            var countedEnds = 0
            fleet.run(60_000) { now ->
                // 14 requests a second are 70% of what two servers with four slots of 400 ms can do.
                if (now % 70 == 0L) send(now)
                val ended = fleet.refused.size + fleet.failed.size
                repeat(minOf(3, ended - countedEnds)) { send(now) }
                countedEnds = ended
                val down = now in 10_000 until 20_000
                fleet.servers.forEach { fleet.speedFactors[it.backendServerId] = if (down) 0.0 else 1.0 }
            }

            val afterwards = arrivals.filterValues { it in 30_000 until 55_000 }
            val met = afterwards.count { (id, at) -> (fleet.finishedAtMs[id] ?: Long.MAX_VALUE) - at <= urgentClass.completionTargetMs }
            val expectedRequests = 25_000 / 70
            assertTrue(met >= expectedRequests * 0.95, "$met requests within target where callers want $expectedRequests")
        }
    }

    @Nested
    inner class `a request whose target cannot be met` {
        @Test
        fun `is refused early with a retry delay, while one that must finish is accepted`() {
            val fleet = FakeFleet(serverCount = 1)
            var next = 0
            fleet.run(10_000) { now -> repeat(2) { fleet.submit(item("r${next++}", arrivedAtMs = now)) } }

            val urgent = (1..50).map { fleet.scheduler.submit(item("urgent$it", arrivedAtMs = fleet.nowMs), fleet.nowMs) }
            val long = fleet.scheduler.submit(item("long", workClass = delayTolerantClass, arrivedAtMs = fleet.nowMs), fleet.nowMs)

            // The server completes ten requests a second, so at most about ten more can start within the target of one second.
            val refusals = urgent.filterIsInstance<SubmitOutcome.Refused>().map { it.refusal }
            assertTrue(refusals.size >= 38, "${refusals.size} of 50 refused")
            assertTrue(refusals.all { (it.retryAfterMs ?: 0) > 0 })
            assertEquals(SubmitOutcome.Queued, long)
        }
    }
}
