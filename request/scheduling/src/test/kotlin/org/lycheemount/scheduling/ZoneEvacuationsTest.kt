package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.ZoneId
import org.lycheemount.scheduling.ZoneEvacuations.PeerStatementOutcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ZoneEvacuationsTest {
    private val zone = ZoneId("z1")
    private val evacuations = ZoneEvacuations()

    private fun evacuated(
        version: Long,
        era: Long? = null,
    ) = ZoneStatement(zone, isEvacuated = true, version, asOfMs = 0, era)

    private fun ended(
        version: Long,
        era: Long? = null,
    ) = ZoneStatement(zone, isEvacuated = false, version, asOfMs = 0, era)

    @Nested
    inner class `rows of the store` {
        @Test
        fun `evacuate a zone until they are removed`() {
            assertTrue(evacuations.onRow(evacuated(5)))
            assertEquals(setOf(zone), evacuations.evacuatedZones)

            assertTrue(evacuations.onRow(ended(6)))
            assertEquals(emptySet(), evacuations.evacuatedZones)
        }

        @Test
        fun `end an evacuation if they are all read and lack it, guarding against a removal in a gap of the history`() {
            evacuations.onRow(evacuated(5))

            val ends = evacuations.onCurrent(9, listed = emptySet(), nowMs = 70)

            assertEquals(listOf(ZoneStatement(zone, isEvacuated = false, version = 9, asOfMs = 70)), ends)
            assertEquals(emptySet(), evacuations.evacuatedZones)
        }

        @Test
        fun `end no evacuation by a read that is older than the row`() {
            evacuations.onRow(evacuated(5))

            assertEquals(emptyList(), evacuations.onCurrent(4, listed = emptySet(), nowMs = 0))
            assertEquals(setOf(zone), evacuations.evacuatedZones)
        }

        @Test
        fun `end no evacuation if only changes were read`() {
            evacuations.onRow(evacuated(5))

            assertEquals(emptyList(), evacuations.onCurrent(9, listed = null, nowMs = 0))
            assertEquals(setOf(zone), evacuations.evacuatedZones)
        }

        @Test
        fun `change nothing if a peer has told of a newer state`() {
            evacuations.onPeerStatement(ended(7), nowMs = 0)

            assertFalse(evacuations.onRow(evacuated(6)))
            assertEquals(emptySet(), evacuations.evacuatedZones)
        }

        @Test
        fun `of many ended evacuations are forgotten in order of age, evacuated zones never, guarding against growth without bound`() {
            evacuations.onRow(evacuated(1))
            (2L..1_000L).forEach { evacuations.onRow(ZoneStatement(ZoneId("other$it"), isEvacuated = false, it, asOfMs = 0)) }

            assertEquals(setOf(zone), evacuations.evacuatedZones)
            assertEquals(65, evacuations.statements.size)
            assertTrue(evacuations.statements.any { it.version == 1_000L })
        }
    }

    @Nested
    inner class `after the store has come back from an older copy` {
        @Test
        fun `an evacuation and its end hold with lower versions, guarding against an order that is taken for an old one`() {
            evacuations.onRow(ended(9, era = 1))

            assertTrue(evacuations.onRow(evacuated(5, era = 2)))
            assertEquals(setOf(zone), evacuations.evacuatedZones)
            assertTrue(evacuations.onRow(ended(6, era = 2)))
            assertEquals(emptySet(), evacuations.evacuatedZones)
        }

        @Test
        fun `an evacuation that is lost holds until the operator had time to write it again, and no longer`() {
            evacuations.onRow(evacuated(9, era = 1))

            assertEquals(emptyList(), evacuations.onCurrent(5, listed = emptySet(), nowMs = 0, era = 2))
            assertEquals(emptyList(), evacuations.onCurrent(6, listed = null, nowMs = 4_000, era = 2))
            assertEquals(setOf(zone), evacuations.evacuatedZones)

            assertEquals(listOf(false), evacuations.onCurrent(7, listed = null, nowMs = 6_000, era = 2).map { it.isEvacuated })
            assertEquals(emptySet(), evacuations.evacuatedZones)
        }

        @Test
        fun `an evacuation that was written again has no end`() {
            evacuations.onRow(evacuated(9, era = 1))
            evacuations.onCurrent(5, listed = emptySet(), nowMs = 0, era = 2)

            evacuations.onRow(evacuated(6, era = 2))

            assertEquals(emptyList(), evacuations.onCurrent(7, listed = null, nowMs = 60_000, era = 2))
            assertEquals(setOf(zone), evacuations.evacuatedZones)
        }

        @Test
        fun `a peer that has not noticed it gets the newer statement, and one that has is believed`() {
            evacuations.onRow(evacuated(9, era = 2))

            assertEquals(PeerStatementOutcome.Outdated(evacuated(9, era = 2)), evacuations.onPeerStatement(ended(20, era = 1), nowMs = 0))
            assertEquals(PeerStatementOutcome.Applied, evacuations.onPeerStatement(ended(4, era = 3), nowMs = 0))
        }

        @Test
        fun `a router that starts learns of a lost evacuation from a peer, guarding against an end that spreads from it`() {
            evacuations.onCurrent(5, listed = emptySet(), nowMs = 0, era = 2)

            assertEquals(PeerStatementOutcome.Applied, evacuations.onPeerStatement(evacuated(9, era = 1), nowMs = 1_000))
            assertEquals(setOf(zone), evacuations.evacuatedZones)
            assertEquals(1, evacuations.onCurrent(7, listed = null, nowMs = 6_000, era = 2).size)
        }

        @Test
        fun `a statement of a router that tells no era counts as one of this era`() {
            evacuations.onCurrent(9, listed = emptySet(), nowMs = 0, era = 2)

            assertEquals(PeerStatementOutcome.Applied, evacuations.onPeerStatement(evacuated(10), nowMs = 0))
            assertEquals(setOf(zone), evacuations.evacuatedZones)
        }
    }

    @Nested
    inner class `a statement of a peer` {
        @Test
        fun `evacuates and restores a zone for a router without the store`() {
            assertEquals(PeerStatementOutcome.Applied, evacuations.onPeerStatement(evacuated(5), nowMs = 0))
            assertEquals(setOf(zone), evacuations.evacuatedZones)

            assertEquals(PeerStatementOutcome.Applied, evacuations.onPeerStatement(ended(8), nowMs = 0))
            assertEquals(emptySet(), evacuations.evacuatedZones)
        }

        @Test
        fun `with an older version changes nothing and is answered with the newer one`() {
            evacuations.onRow(evacuated(5))

            assertEquals(PeerStatementOutcome.Outdated(evacuated(5)), evacuations.onPeerStatement(ended(4), nowMs = 0))
            assertEquals(setOf(zone), evacuations.evacuatedZones)
        }

        @Test
        fun `that is known changes nothing and is not answered, guarding against messages without end`() {
            evacuations.onRow(evacuated(5))

            assertEquals(PeerStatementOutcome.Known, evacuations.onPeerStatement(evacuated(5), nowMs = 0))
            assertEquals(PeerStatementOutcome.Known, evacuations.onPeerStatement(evacuated(4), nowMs = 0))
        }

        @Test
        fun `on a zone without a row in a later read of the store is answered, guarding against a removal that the peer missed`() {
            evacuations.onCurrent(9, listed = emptySet(), nowMs = 0)

            val outcome = evacuations.onPeerStatement(evacuated(5), nowMs = 70)

            assertEquals(PeerStatementOutcome.Outdated(ZoneStatement(zone, isEvacuated = false, version = 9, asOfMs = 70)), outcome)
            assertEquals(emptySet(), evacuations.evacuatedZones)
        }

        @Test
        fun `that is newer than the last read of the store holds`() {
            evacuations.onCurrent(9, listed = emptySet(), nowMs = 0)

            assertEquals(PeerStatementOutcome.Applied, evacuations.onPeerStatement(evacuated(10), nowMs = 0))
            assertEquals(setOf(zone), evacuations.evacuatedZones)
        }
    }
}
