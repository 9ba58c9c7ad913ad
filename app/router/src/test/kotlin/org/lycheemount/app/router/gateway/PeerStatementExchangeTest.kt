package org.lycheemount.app.router.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.caller.routed.ServerStatements
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.scheduling.createRequestScheduler
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import kotlin.test.Test
import kotlin.test.assertEquals

class PeerStatementExchangeTest {
    /** A router whose monotonic clock began [clockOffsetMs] before that of the table. */
    private class Router(
        index: Int,
        scope: TestScope,
        network: FakePeerNetwork,
        private val clockOffsetMs: Long,
    ) {
        private val clock = scope.virtualClock(clockOffsetMs)
        private val id = RouterId("r$index")
        val messenger = network.join(RouterIdentity(id, VmId("vm-r$index"), RegionId("region"), ZoneId("z"), incarnation = 1))
        private val eventLog = FakeEventLog()

        /** Whether the clock of the table is known. */
        var knowsTableTime = true
        private val exchange = PeerStatementExchange(messenger, clock, eventLog) { (-clockOffsetMs).takeIf { knowsTableTime } }
        private val dispatcher = WorkDispatcher(createRequestScheduler(ZoneId("z"), seed = 1), clock)
        private val statements = ServerStatements(dispatcher, clock, eventLog, exchange::announce, exchange::announceLeaving)

        init {
            exchange.start(scope.backgroundScope, statements)
        }

        val limits get() = eventLog.events.filter { it.first == "server_limit" }.map { it.second["requests_per_s"] }

        val events get() = eventLog.events.map { it.first }

        /** Of each statement on whether the server leaves: the statement, its age and its source. */
        val leavingStatements get() =
            eventLog.events.filter { it.first == "server_leaving" }.map { (_, fields) ->
                listOf("leaving", "age_ms", "source").map(fields::get)
            }

        val believesToLeave get() = statements.hasSaidToLeave(SERVER)

        fun receiveLeaving() = statements.onLeavingResponse(SERVER)

        fun receiveOther(ageMs: Long = 0) = statements.onOtherResponse(SERVER, clock.monotonicMs() - ageMs)

        fun receive(
            limitText: String?,
            ageMs: Long = 0,
        ) = statements.onResponse(SERVER, limitText, clock.monotonicMs() - ageMs)
    }

    private fun runFleet(steps: suspend (List<Router>, FakePeerNetwork) -> Unit) =
        runTest {
            val network = FakePeerNetwork(backgroundScope)
            steps(List(3) { router(it, network) }, network)
        }

    private fun TestScope.router(
        index: Int,
        network: FakePeerNetwork,
    ) = Router(index, this, network, clockOffsetMs = index * 100_000L)

    @Nested
    inner class `routers that hear of a limit from a peer` {
        @Test
        fun `know each change of it after the first response, guarding against servers that each router has to ask`() =
            runFleet { routers, _ ->
                routers[0].receive("2")
                delay(50)
                routers[1].receive("5")
                delay(50)
                routers[2].receive(null)
                delay(50)

                assertEquals(List(3) { listOf<Any?>(2.0, 5.0, null) }, routers.map { it.limits })
            }

        @Test
        fun `do not tell it to each other without end`() =
            runFleet { routers, _ ->
                repeat(5) {
                    routers.forEach { it.receive("2") }
                    delay(50)
                }

                assertEquals(List(3) { listOf<Any?>(2.0) }, routers.map { it.limits })
            }

        @Test
        fun `keep a limit that was named after the response which says that there is none`() =
            runFleet { routers, _ ->
                routers[0].receive("2")
                delay(50)
                routers[1].receive(null, ageMs = 60)
                delay(50)

                assertEquals(List(3) { listOf<Any?>(2.0) }, routers.map { it.limits })
            }

        @Test
        fun `ignore a message that cannot be read`() =
            runFleet { routers, _ ->
                routers[0].messenger.send(RouterId("r1"), PeerChannel("limit"), "no message".encodeToByteArray())
                delay(50)
                routers[0].receive("2")
                delay(50)

                assertEquals(listOf<Any?>(2.0), routers[1].limits)
                assertEquals(1, routers[1].events.count { it == "peer_statement_unreadable" })
            }
    }

    @Nested
    inner class `routers that hear from a peer that a server leaves` {
        @Test
        fun `know it after the first response, with its age and source`() =
            runFleet { routers, _ ->
                routers[0].receiveLeaving()
                delay(50)

                assertEquals(listOf(listOf<Any?>(true, 0L, "response")), routers[0].leavingStatements)
                assertEquals(listOf("r0", "r0"), routers.drop(1).map { it.leavingStatements.single()[2] })
                assertEquals(List(3) { true }, routers.map { it.believesToLeave })
            }

        @Test
        fun `do not tell it to each other without end`() =
            runFleet { routers, _ ->
                repeat(5) {
                    routers.forEach { it.receiveLeaving() }
                    delay(50)
                }

                assertEquals(List(3) { 1 }, routers.map { it.leavingStatements.size })
            }

        @Test
        fun `know it while the store is silent, guarding against routers that have not read the clock of the table`() =
            runFleet { routers, _ ->
                routers.forEach { it.knowsTableTime = false }
                routers[0].receiveLeaving()
                delay(50)

                assertEquals(List(3) { true }, routers.map { it.believesToLeave })
            }

        @Test
        fun `know that it stays after all, unless that was said before`() =
            runFleet { routers, _ ->
                routers[0].receiveLeaving()
                delay(50)
                routers[1].receiveOther(ageMs = 60)
                delay(50)
                val afterEarlierResponse = routers.map { it.believesToLeave }
                routers[2].receiveOther()
                delay(50)

                assertEquals(List(3) { true }, afterEarlierResponse)
                assertEquals(List(3) { false }, routers.map { it.believesToLeave })
            }

        @Test
        fun `know it after they have been out of contact`() =
            runFleet { routers, network ->
                network.partition(listOf(RouterId("r0")), listOf(RouterId("r1"), RouterId("r2")))
                delay(2_000)
                routers[0].receiveLeaving()
                delay(2_000)
                val inPartition = routers.map { it.believesToLeave }
                network.heal()
                delay(1_000)

                assertEquals(listOf(true, false, false), inPartition)
                assertEquals(List(3) { true }, routers.map { it.believesToLeave })
            }

        @Test
        fun `know it after a restart, guarding against a router that is restarted as soon as it has passed on the response`() =
            runTest {
                val network = FakePeerNetwork(backgroundScope)
                val others = List(2) { router(it, network) }
                router(2, network).receiveLeaving()
                delay(50)
                network.leave(RouterId("r2"))
                delay(1_000)
                val restarted = router(2, network)
                delay(1_000)

                assertEquals(List(3) { true }, (others + restarted).map { it.believesToLeave })
            }

        @Test
        fun `ignore a message that cannot be read`() =
            runFleet { routers, _ ->
                routers[0].messenger.send(RouterId("r1"), PeerChannel("leaving"), "no message".encodeToByteArray())
                delay(50)

                assertEquals(
                    listOf(false, 1),
                    listOf(
                        routers[1].believesToLeave,
                        routers[1].events.count {
                            it ==
                                "peer_statement_unreadable"
                        },
                    ),
                )
            }
    }

    private companion object {
        private val SERVER = BackendServer(BackendServerId("s1"), VmId("vm1"), ZoneId("z"), "127.0.0.1", 1, emptySet())
    }
}
