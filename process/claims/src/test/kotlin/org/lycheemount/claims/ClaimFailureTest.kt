package org.lycheemount.claims

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId
import kotlin.test.Test
import kotlin.test.assertEquals

class ClaimFailureTest {
    private val onePartition = ClaimOptions(partitions = 1, callTimeoutMs = 100, claimTimeoutMs = 1_500, refreshIntervalMs = 5_000)

    private fun startFleet(scope: TestScope) = ClaimFleet(scope, options = onePartition)

    private suspend fun ClaimFleet.Router.claim(
        key: String,
        request: String,
    ) = describe(claims.registry.claim(TeamId("t"), IdempotencyKey(key), RequestId(request), "f"))

    private suspend fun ClaimFleet.Router.finish(
        key: String,
        request: String,
    ) {
        val ran = RecordedOutcome.Ran(200, null, request.encodeToByteArray())
        claims.registry.finish(TeamId("t"), IdempotencyKey(key), RequestId(request), ran)
    }

    /** Returns the members of the only partition, primary first. */
    private fun ClaimFleet.pairMembers(): List<ClaimFleet.Router> {
        val row = table.copyRows().single { it.key.startsWith(PARTITION_PREFIX) }.value
        return routers.filter { row.contains("\"vmId\":\"${it.identity.vmId.value}\"") }.sortedBy { row.indexOf(it.identity.vmId.value) }
    }

    private fun ClaimFleet.routersOutsidePair() = routers - pairMembers().toSet()

    @Nested
    inner class `a duplicated claim message` {
        @Test
        fun `does not release the key of a running request when the secondary has crashed`() =
            runTest {
                val fleet = startFleet(this)
                fleet.routers.first().claim("warm-up", "q0")
                val (primary, secondary) = fleet.pairMembers()
                val router = fleet.routersOutsidePair().first()
                router.claim("k", "q1")
                fleet.table.isAvailable = false
                secondary.kill()
                val request = ClaimRequest(ClaimKey(TeamId("t"), IdempotencyKey("k")), RequestId("q1"), "f", router.identity)

                val message = encodeMessage(ClaimMessage.Claim(0, null, request))
                router.messenger.call(primary.identity.routerId, CLAIMS_CHANNEL, message, timeoutMs = 5_000)
                fleet.table.isAvailable = true

                assertEquals("running q1", router.claim("k", "q2"))
            }
    }

    @Nested
    inner class `a claim that is cancelled before it is decided` {
        @Test
        fun `is released, so that another request with the key can run`() =
            runTest {
                val fleet = startFleet(this)
                fleet.routers.first().claim("warm-up", "q0")
                val router = fleet.routersOutsidePair().first()
                val claim = launch { router.claim("k", "q1") }
                delay(1)
                claim.cancel()
                claim.join()

                assertEquals("granted", router.claim("k", "q2"))
            }
    }

    @Nested
    inner class `a partition whose routers are both lost` {
        @Test
        fun `returns the outcomes in the table and reports other keys as unknown for one outcome lifetime`() =
            runTest {
                val fleet = startFleet(this)
                val first = fleet.routers.first()
                first.claim("written", "q1")
                first.finish("written", "q1")
                delay(2_000)
                first.claim("lost", "q2")
                fleet.pairMembers().forEach {
                    it.kill()
                    fleet.confirmGone(it)
                }

                val router = fleet.routers.first { it.isRunning }
                val outcomes = listOf("written" to "q3", "lost" to "q4").map { router.claim(it.first, it.second) }
                delay(fleet.options.outcomeLifetimeMs)

                assertEquals(listOf("finished ran 200 q1", "finished unknown"), outcomes)
                assertEquals("granted", router.claim("new", "q5"))
            }
    }

    @Nested
    inner class `a partition whose routers are both paused` {
        @Test
        fun `is not taken over, and its claims are still held after the pause`() =
            runTest {
                val fleet = startFleet(this)
                fleet.routers.first().claim("k", "q1")
                fleet.pairMembers().forEach { it.pause.untilMs = 60_000 }

                val whilePaused = fleet.routersOutsidePair().map { it.claim("k", "q2") }
                delay(70_000)

                assertEquals(setOf("refused"), whilePaused.toSet())
                assertEquals("running q1", fleet.routersOutsidePair().first().claim("k", "q3"))
            }
    }

    @Nested
    inner class `a pair whose two routers are running` {
        @Test
        fun `grants claims during a table outage and writes their outcomes to the table afterwards`() =
            runTest {
                val fleet = startFleet(this)
                fleet.routers.first().claim("warm-up", "q0")
                fleet.table.isAvailable = false

                val granted = fleet.routers.map { it.claim("k${it.number}", "q${it.number}") }
                fleet.routers.forEach { it.finish("k${it.number}", "q${it.number}") }
                fleet.table.isAvailable = true
                delay(3_000)

                assertEquals(setOf("granted"), granted.toSet())
                assertEquals(5, fleet.table.copyRows().count { it.key.startsWith(outcomePrefix(0)) })
            }
    }

    @Nested
    inner class `a graceful shutdown of all routers` {
        @Test
        fun `loses no outcome and refuses no new key after the restart`() =
            runTest {
                val fleet = startFleet(this)
                fleet.routers.first().claim("k", "q1")
                fleet.routers.first().finish("k", "q1")
                fleet.routers.forEach { it.claims.close() }
                fleet.routers.toList().forEach { fleet.restart(it) }

                val outcomes = listOf("k" to "q2", "new" to "q3").map { fleet.routers.first().claim(it.first, it.second) }

                assertEquals(listOf("finished ran 200 q1", "granted"), outcomes)
            }

        @Test
        fun `leaves a partition with a running request open, so that its outcome is unknown after the restart`() =
            runTest {
                val fleet = startFleet(this)
                fleet.routers.first().claim("k", "q1")
                fleet.routers.forEach { it.claims.close() }
                fleet.routers.toList().forEach { fleet.restart(it) }

                assertEquals("finished unknown", fleet.routers.first().claim("k", "q2"))
            }
    }

    @Nested
    inner class `a table restored from an older copy` {
        @Test
        fun `does not return a partition to the pair in that copy`() =
            runTest {
                val fleet = startFleet(this)
                fleet.routers.first().claim("k", "q1")
                val older = fleet.table.copyRows()
                val (primary, secondary) = fleet.pairMembers()
                fleet.network.partition(
                    listOf(primary.identity.routerId),
                    fleet.routers.filter { it !== primary }.map { it.identity.routerId },
                )
                primary.link.isPartitioned = true
                secondary.claim("j", "q2")
                delay(fleet.options.refreshIntervalMs)
                fleet.table.restore(older)
                fleet.network.heal()
                primary.link.isPartitioned = false
                fleet.network.partition(listOf(primary.identity.routerId), listOf(secondary.identity.routerId))

                val outcome = primary.claim("j", "q3")
                delay(2 * fleet.options.refreshIntervalMs)

                assertEquals("running q2", outcome)
                assertEquals(secondary, fleet.pairMembers().first())
            }
    }
}
