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

    private fun fleet(scope: TestScope) = ClaimFleet(scope, options = onePartition)

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
    private fun ClaimFleet.pair(): List<ClaimFleet.Router> {
        val row = table.copyRows().single { it.key.startsWith(PARTITION_PREFIX) }.value
        return routers.filter { row.contains("\"vmId\":\"${it.identity.vmId.value}\"") }.sortedBy { row.indexOf(it.identity.vmId.value) }
    }

    private fun ClaimFleet.others() = routers - pair().toSet()

    @Nested
    inner class `a duplicated claim message` {
        @Test
        fun `does not free the key of a running request when the second member is lost`() =
            runTest {
                val fleet = fleet(this)
                fleet.routers.first().claim("warm-up", "q0")
                val (primary, secondary) = fleet.pair()
                val router = fleet.others().first()
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
    inner class `a caller that leaves while its claim is decided` {
        @Test
        fun `leaves the key free`() =
            runTest {
                val fleet = fleet(this)
                fleet.routers.first().claim("warm-up", "q0")
                val router = fleet.others().first()
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
        fun `gives written outcomes again and refuses other keys as unknown for one lifetime`() =
            runTest {
                val fleet = fleet(this)
                val first = fleet.routers.first()
                first.claim("written", "q1")
                first.finish("written", "q1")
                delay(2_000)
                first.claim("lost", "q2")
                fleet.pair().forEach {
                    it.kill()
                    fleet.confirmGone(it)
                }

                val router = fleet.routers.first { it.alive }
                val outcomes = listOf("written" to "q3", "lost" to "q4").map { router.claim(it.first, it.second) }
                delay(fleet.options.outcomeLifetimeMs)

                assertEquals(listOf("finished ran 200 q1", "finished unknown"), outcomes)
                assertEquals("granted", router.claim("new", "q5"))
            }

        @Test
        fun `is not taken over while a member is only silent`() =
            runTest {
                val fleet = fleet(this)
                fleet.routers.first().claim("k", "q1")
                fleet.pair().forEach { it.pause.untilMs = 60_000 }

                val whilePaused = fleet.others().map { it.claim("k", "q2") }
                delay(70_000)

                assertEquals(setOf("refused"), whilePaused.toSet())
                assertEquals("running q1", fleet.others().first().claim("k", "q3"))
            }
    }

    @Nested
    inner class `a complete pair` {
        @Test
        fun `goes on during a table outage and writes the outcomes afterwards`() =
            runTest {
                val fleet = fleet(this)
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
    inner class `a clean stop of all routers` {
        @Test
        fun `keeps the outcomes and does not refuse new keys afterwards`() =
            runTest {
                val fleet = fleet(this)
                fleet.routers.first().claim("k", "q1")
                fleet.routers.first().finish("k", "q1")
                fleet.routers.forEach { it.claims.close() }
                fleet.routers.toList().forEach { fleet.restart(it) }

                val outcomes = listOf("k" to "q2", "new" to "q3").map { fleet.routers.first().claim(it.first, it.second) }

                assertEquals(listOf("finished ran 200 q1", "granted"), outcomes)
            }

        @Test
        fun `does not close a partition in which a request runs`() =
            runTest {
                val fleet = fleet(this)
                fleet.routers.first().claim("k", "q1")
                fleet.routers.forEach { it.claims.close() }
                fleet.routers.toList().forEach { fleet.restart(it) }

                assertEquals("finished unknown", fleet.routers.first().claim("k", "q2"))
            }
    }

    @Nested
    inner class `a restored table` {
        @Test
        fun `with an older pair does not bring that pair back`() =
            runTest {
                val fleet = fleet(this)
                fleet.routers.first().claim("k", "q1")
                val older = fleet.table.copyRows()
                val (primary, secondary) = fleet.pair()
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
                assertEquals(secondary, fleet.pair().first())
            }
    }
}
