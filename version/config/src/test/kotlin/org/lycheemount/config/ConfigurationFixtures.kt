package org.lycheemount.config

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.lycheemount.common.Clock
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableLink
import org.lycheemount.testing.FakeTableService
import kotlin.random.Random

internal fun workClassKey(id: String) = ItemKey(ItemKind.WORK_CLASS, id)

internal fun workClassBody(
    id: String,
    firstTokenTargetMs: Long = 500,
): JsonObject =
    buildJsonObject {
        put("workClassId", id)
        put("firstTokenTargetMs", firstTokenTargetMs)
        put("completionTargetMs", 100_000)
    }

internal class VirtualClock(
    private val scope: TestScope,
) : Clock {
    override fun monotonicMs(): Long = scope.testScheduler.currentTime

    override fun wallClockMs(): Long = 1_700_000_000_000 + monotonicMs()
}

/** Routers with real configuration services over an in-memory network and table. */
internal class ConfigurationFleet(
    private val scope: TestScope,
    size: Int = 3,
    private val seed: Int = 1,
    private val routerCountKnownFromMs: Long = 0,
) {
    val clock = VirtualClock(scope)
    val table = FakeTableService(clock)
    val network = FakePeerNetwork(scope.backgroundScope, seed = seed)
    val routers = (0 until size).map { Router("router-$it", it) }.toMutableList()
    private val routerIds get() = routers.map { it.id }

    inner class Router(
        name: String,
        private val index: Int,
    ) {
        val id = RouterId(name)
        val tableLink = FakeTableLink(table, scope.backgroundScope, latencyMs = 2, random = Random(seed * 100 + index))
        lateinit var service: ConfigurationService
        private var job: Job? = null

        fun start() {
            val identity = RouterIdentity(id, VmId("vm-$index"), RegionId("bc-west"), ZoneId("fraser"), clock.wallClockMs())
            val messenger = network.join(identity)
            val peers =
                object : ConfigurationPeers {
                    override fun routerCount() = if (clock.monotonicMs() < routerCountKnownFromMs) 0 else routerIds.size

                    override fun pushTargets() = routerIds - id
                }
            service =
                ConfigurationService(tableLink, messenger, peers, clock, FakeEventLog(), random = Random(seed * 1000 + index))
            messenger.register(heartbeatChannel) { from, payload ->
                service.onPeerSequence(from.routerId, String(payload).toLong())
                null
            }
            job =
                scope.backgroundScope.launch {
                    service.start(this)
                    sendHeartbeats(
                        this,
                    ) { peers.pushTargets().forEach { messenger.send(it, heartbeatChannel, "${service.replica.sequence}".toByteArray()) } }
                }
        }

        fun stop() {
            job?.cancel()
            network.leave(id)
        }

        suspend fun changeWorkClass(
            key: ItemKey,
            expectedVersion: Long,
            firstTokenTargetMs: Long,
            changeId: String,
        ) = service.store.change(
            ChangeRequest(changeId, "operator", listOf(ItemEdit(key, expectedVersion, workClassBody(key.id, firstTokenTargetMs)))),
        )

        fun localVersion(key: ItemKey) = service.replica.find(key)?.version ?: 0L
    }

    fun startAll() = routers.forEach { it.start() }

    private fun sendHeartbeats(
        scope: CoroutineScope,
        send: () -> Unit,
    ) {
        scope.launch {
            while (true) {
                delay(1_000)
                send()
            }
        }
    }

    private companion object {
        private val heartbeatChannel = PeerChannel("heartbeat")
    }
}
