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

class PeerLimitExchangeTest {
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
        private val exchange = PeerLimitExchange(messenger, clock, eventLog) { -clockOffsetMs }
        private val dispatcher = WorkDispatcher(createRequestScheduler(ZoneId("z"), seed = 1), clock)
        private val statements = ServerStatements(dispatcher, clock, eventLog, exchange::announce)

        init {
            exchange.start(statements::onPeerStatement)
        }

        val limits get() = eventLog.events.filter { it.first == "server_limit" }.map { it.second["requests_per_s"] }

        val events get() = eventLog.events.map { it.first }

        fun receive(
            limitText: String?,
            ageMs: Long = 0,
        ) = statements.onResponse(SERVER, limitText, clock.monotonicMs() - ageMs)
    }

    private fun runFleet(steps: suspend (List<Router>, FakePeerNetwork) -> Unit) =
        runTest {
            val network = FakePeerNetwork(backgroundScope)
            steps(List(3) { Router(it, this, network, clockOffsetMs = it * 100_000L) }, network)
        }

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
                assertEquals(1, routers[1].events.count { it == "peer_limit_unreadable" })
            }
    }

    private companion object {
        private val SERVER = BackendServer(BackendServerId("s1"), VmId("vm1"), ZoneId("z"), "127.0.0.1", 1, emptySet())
    }
}
