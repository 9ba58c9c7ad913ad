package org.lycheemount.scheduling

import org.lycheemount.common.ZoneId

/**
 * Decides which availability zones are evacuated, from the rows of the store and from what peers have read there. Performs no I/O; not
 * thread-safe.
 *
 * Handles load that the operator moves out of a zone and back at once, while some routers cannot reach the store: the statement of the
 * latest era of the store, and in that the one with the highest version, holds for a zone, wherever it comes from. An evacuation has no
 * time limit, since a request that is sent into the zone breaks the operator's order, while an evacuation that is kept too long costs only
 * capacity. For the same reason, an evacuation that the store has lost holds until the operator had time to write it again.
 */
class ZoneEvacuations {
    private val known = LinkedHashMap<ZoneId, ZoneStatement>()

    /** Era and version up to which this router has read the store; a zone that is not [known] was not evacuated then. */
    private var readEra: Long? = null
    private var readVersion = Long.MIN_VALUE

    /** Monotonic time at which all rows were first read in [readEra]. */
    private var eraReadAtMs = 0L

    /** Evacuations of earlier eras that the store lacks, and the monotonic time since when. */
    private val missingSinceMs = HashMap<ZoneId, Long>()

    /** The newest statement on each zone, including ends of evacuations. */
    val statements: List<ZoneStatement> get() = known.values.toList()

    val evacuatedZones: Set<ZoneId> get() = known.values.filter { it.isEvacuated }.mapTo(LinkedHashSet()) { it.zoneId }

    /** Applies a row of the store, or its removal; returns whether it is newer than what is known of the zone. */
    fun onRow(statement: ZoneStatement): Boolean {
        val current = known[statement.zoneId]
        if (current != null && !statement.isNewerThan(current)) return false
        record(statement)
        return true
    }

    /**
     * All rows of the store as of [version] in [era] have been applied. Returns the evacuations that this ends.
     *
     * @param listed zones of all rows if they were all read; null if only changes were read.
     * @param era era of the store; null if that states none.
     */
    fun onCurrent(
        version: Long,
        listed: Set<ZoneId>?,
        nowMs: Long,
        era: Long? = null,
    ): List<ZoneStatement> {
        if (era != readEra) {
            readEra = era
            readVersion = version
            eraReadAtMs = nowMs
        }
        readVersion = maxOf(readVersion, version)
        if (listed != null) noteMissing(listed, nowMs)
        return missingSinceMs.keys
            .map(known::getValue)
            .filter { it.era == era || nowMs - missingSinceMs.getValue(it.zoneId) >= REWRITE_MS }
            .map { ZoneStatement(it.zoneId, isEvacuated = false, version, nowMs, era) }
            .onEach(::record)
    }

    private fun noteMissing(
        listed: Set<ZoneId>,
        nowMs: Long,
    ) {
        val missing = known.values.filter { it.isEvacuated && it.zoneId !in listed && isOlderThanRead(it) }.map { it.zoneId }
        missingSinceMs.keys.retainAll(missing.toSet())
        missing.forEach { missingSinceMs.putIfAbsent(it, nowMs) }
    }

    /** Applies what a peer has told. A statement without an era comes from a router that knows of none, and counts as one of this era. */
    fun onPeerStatement(
        told: ZoneStatement,
        nowMs: Long,
    ): PeerStatementOutcome {
        val statement = told.copy(era = told.era ?: readEra)
        val current = known[statement.zoneId]
        if (current == null && !statement.isNewerThan(readEra, readVersion)) {
            if (!statement.isEvacuated) return PeerStatementOutcome.Known
            if (statement.era != readEra && nowMs - eraReadAtMs < REWRITE_MS) {
                record(statement)
                missingSinceMs[statement.zoneId] = eraReadAtMs
                return PeerStatementOutcome.Applied
            }
            val end = ZoneStatement(statement.zoneId, isEvacuated = false, readVersion, nowMs, readEra)
            record(end)
            return PeerStatementOutcome.Outdated(end)
        }
        if (current == null || statement.isNewerThan(current)) {
            record(statement)
            return PeerStatementOutcome.Applied
        }
        val isOutdated = current.isNewerThan(statement) && statement.isEvacuated != current.isEvacuated
        return if (isOutdated) PeerStatementOutcome.Outdated(current) else PeerStatementOutcome.Known
    }

    private fun isOlderThanRead(statement: ZoneStatement) =
        !statement.isNewerThan(readEra, readVersion) && (statement.era != readEra || statement.version != readVersion)

    private fun record(statement: ZoneStatement) {
        known[statement.zoneId] = statement
        missingSinceMs -= statement.zoneId
        val ended = known.values.filterNot { it.isEvacuated }
        if (ended.size > MAX_ENDED) known -= ended.minWith(ZoneStatement.BY_AGE).zoneId
    }

    /** Outcome of a statement of a peer. */
    sealed interface PeerStatementOutcome {
        /** The statement is in force. */
        data object Applied : PeerStatementOutcome

        /** The statement changes nothing. */
        data object Known : PeerStatementOutcome

        /** The statement changes nothing, and the peer lacks the newer statement [answer]. */
        data class Outdated(
            val answer: ZoneStatement,
        ) : PeerStatementOutcome
    }

    private companion object {
        // Bounds the memory for the ends of evacuations that are kept for routers without the store.
        private const val MAX_ENDED = 64

        /** Time in which the operator writes again what the store has lost. */
        private const val REWRITE_MS = 5_000L
    }
}
