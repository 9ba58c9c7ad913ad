package org.lycheemount.app.router.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.Nested
import org.lycheemount.caller.WorkDispatcher
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
import kotlin.test.assertTrue

class PeerEvacuationExchangeTest {
    private class Router(
        index: Int,
        scope: TestScope,
        network: FakePeerNetwork,
    ) {
        val id = RouterId("r$index")
        private val clock = scope.virtualClock(offsetMs = index * 100_000L)
        val messenger = network.join(RouterIdentity(id, VmId(id.value), RegionId("region"), ZoneId("z"), incarnation = 1))
        val eventLog = FakeEventLog()
        private val exchange = PeerEvacuationExchange(messenger, clock, eventLog)
        val state =
            ZoneEvacuationState(WorkDispatcher(createRequestScheduler(ZoneId("z"), seed = 1), clock), clock, eventLog, exchange::announce)

        init {
            exchange.start(scope.backgroundScope, state)
        }

        val evacuated get() = state.statements().filter { it.isEvacuated }.map { it.zoneId.value }

        fun read(
            zone: String,
            isEvacuated: Boolean,
            version: Long,
            era: Long? = null,
        ) = state.onRow(ZoneId(zone), isEvacuated, version, era)
    }

    private fun runFleet(steps: suspend TestScope.(List<Router>, FakePeerNetwork) -> Unit) =
        runTest {
            val network = FakePeerNetwork(backgroundScope)
            steps(List(3) { Router(it, this, network) }, network)
        }

    @Nested
    inner class `routers that hear of evacuations from a peer` {
        @Test
        fun `know each change and who has told it`() =
            runFleet { routers, _ ->
                routers[0].read("z1", isEvacuated = true, version = 5)
                delay(50)
                assertEquals(listOf("z1"), routers[2].evacuated)

                routers[0].read("z1", isEvacuated = false, version = 6)
                delay(50)
                assertEquals(emptyList(), routers[2].evacuated)
                val events = routers[2].eventLog.events
                assertEquals(listOf("zone_evacuated", "zone_restored"), events.map { it.first })
                assertEquals(listOf<Any?>("r0", "r0"), events.map { it.second["source"] })
            }

        @Test
        fun `know all of very many once a link opens, and how old they are`() =
            runFleet { routers, network ->
                network.partition(listOf(routers[0].id), listOf(routers[1].id, routers[2].id))
                repeat(200) { routers[0].read("z$it", isEvacuated = true, version = 5L + it) }
                delay(1_000)
                assertEquals(0, routers[1].evacuated.size)

                network.heal()
                delay(1_000)

                assertEquals(200, routers[1].evacuated.size)
                assertTrue(routers[1].eventLog.events.all { it.second["age_ms"] as Long >= 1_000 })
            }

        @Test
        fun `keep to the newest although messages are lost and doubled, once a link has opened`() =
            runFleet { routers, network ->
                network.lossShare = 0.3
                network.duplicateShare = 0.3
                repeat(20) { routers[it % 3].read("z1", isEvacuated = it % 2 == 0, version = 5L + it) }
                delay(1_000)
                network.partition(routers.take(1).map { it.id }, routers.drop(1).map { it.id })
                network.lossShare = 0.0
                delay(1_000)
                network.heal()
                delay(1_000)

                assertEquals(List(3) { emptyList<String>() }, routers.map { it.evacuated })
            }
    }

    @Nested
    inner class `routers of which one has noticed that the store came back from an older copy` {
        @Test
        fun `agree on an evacuation with a lower version, guarding against an order that is taken for an old one`() =
            runFleet { routers, _ ->
                routers.forEach { it.read("z1", isEvacuated = false, version = 9, era = 1) }

                routers[0].read("z1", isEvacuated = true, version = 5, era = 2)
                delay(50)

                assertEquals(List(3) { listOf("z1") }, routers.map { it.evacuated })
            }
    }

    @Nested
    inner class `a router of the release without eras` {
        private val channel = PeerChannel("evacuation")
        private val cbor = Cbor { ignoreUnknownKeys = true }

        private fun FakePeerNetwork.joinEarlierRelease() =
            join(RouterIdentity(RouterId("old"), VmId("old"), RegionId("region"), ZoneId("z"), incarnation = 1))

        @Test
        fun `reads what others tell`() =
            runFleet { routers, network ->
                val received = ArrayList<EarlierMessage>()
                network.joinEarlierRelease().register(channel) { _, payload ->
                    received += cbor.decodeFromByteArray(EarlierMessage.serializer(), payload)
                    null
                }

                routers[0].read("z1", isEvacuated = true, version = 5, era = 2)
                delay(1_000)

                val entry = received.flatMap { it.entries }.first()
                assertEquals(listOf("z1", true, 5L), listOf(entry.zone, entry.isEvacuated, entry.version))
            }

        @Test
        fun `is believed`() =
            runFleet { routers, network ->
                val messenger = network.joinEarlierRelease()
                val message = EarlierMessage(listOf(EarlierEntry("z1", isEvacuated = true, version = 5, ageMs = 0)))

                messenger.send(routers[0].id, channel, cbor.encodeToByteArray(EarlierMessage.serializer(), message))
                delay(50)

                assertEquals(listOf("z1"), routers[0].evacuated)
            }
    }

    @Serializable
    private class EarlierMessage(
        @SerialName("e") val entries: List<EarlierEntry>,
    )

    @Serializable
    private class EarlierEntry(
        @SerialName("z") val zone: String,
        @SerialName("e") val isEvacuated: Boolean,
        @SerialName("v") val version: Long,
        @SerialName("a") val ageMs: Long,
    )

    @Nested
    inner class `a message that cannot be read` {
        @Test
        fun `changes nothing and is logged, guarding against a peer that fills the memory`() =
            runFleet { routers, _ ->
                val garbage = ByteArray(40) { -1 }

                routers[0].messenger.send(routers[1].id, PeerChannel("evacuation"), garbage)
                delay(50)

                assertEquals(listOf("peer_statement_unreadable"), routers[1].eventLog.events.map { it.first })
            }

        @Test
        fun `since it names a zone of too many characters is refused as a whole`() =
            runFleet { routers, _ ->
                routers[0].read("z".repeat(129), isEvacuated = true, version = 5)
                delay(50)

                assertEquals(emptyList(), routers[1].evacuated)
                assertEquals(listOf("peer_statement_unreadable"), routers[1].eventLog.events.map { it.first })
            }
    }
}
