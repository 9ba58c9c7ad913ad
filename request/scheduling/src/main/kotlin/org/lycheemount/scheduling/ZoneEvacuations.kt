package org.lycheemount.scheduling

import org.lycheemount.common.ZoneId

/**
 * Decides which availability zones are evacuated, from the rows of the store and from what peers have read there. Performs no I/O; not
 * thread-safe.
 *
 * Handles load that the operator moves out of a zone and back at once, while some routers cannot reach the store: the statement with the
 * highest version of the store holds for a zone, wherever it comes from. An evacuation has no time limit, since a request that is sent into
 * the zone breaks the operator's order, while an evacuation that is kept too long costs only capacity.
 */
class ZoneEvacuations {
    private val known = LinkedHashMap<ZoneId, ZoneStatement>()

    /** Version up to which this router has read the store; a zone that is not [known] was not evacuated then. */
    private var readVersion = Long.MIN_VALUE

    /** The newest statement on each zone, including ends of evacuations. */
    val statements: List<ZoneStatement> get() = known.values.toList()

    val evacuatedZones: Set<ZoneId> get() = known.values.filter { it.isEvacuated }.mapTo(LinkedHashSet()) { it.zoneId }

    /** Applies a row of the store, or its removal; returns whether it is newer than what is known of the zone. */
    fun onRow(statement: ZoneStatement): Boolean {
        val current = known[statement.zoneId]
        if (current != null && statement.version <= current.version) return false
        record(statement)
        return true
    }

    /**
     * All rows of the store as of [version] have been applied. Returns the evacuations that this ends.
     *
     * @param listed zones of all rows if they were all read; null if only changes were read.
     */
    fun onCurrent(
        version: Long,
        listed: Set<ZoneId>?,
        nowMs: Long,
    ): List<ZoneStatement> {
        readVersion = maxOf(readVersion, version)
        if (listed == null) return emptyList()
        return known.values
            .filter { it.isEvacuated && it.zoneId !in listed && it.version < version }
            .map { ZoneStatement(it.zoneId, isEvacuated = false, version, nowMs) }
            .onEach(::record)
    }

    /** Applies what a peer has told. */
    fun onPeerStatement(
        statement: ZoneStatement,
        nowMs: Long,
    ): PeerStatementOutcome {
        val current = known[statement.zoneId]
        if (current == null && statement.version <= readVersion) {
            if (!statement.isEvacuated) return PeerStatementOutcome.Known
            val end = ZoneStatement(statement.zoneId, isEvacuated = false, readVersion, nowMs)
            record(end)
            return PeerStatementOutcome.Outdated(end)
        }
        if (current == null || statement.version > current.version) {
            record(statement)
            return PeerStatementOutcome.Applied
        }
        val isOutdated = statement.version < current.version && statement.isEvacuated != current.isEvacuated
        return if (isOutdated) PeerStatementOutcome.Outdated(current) else PeerStatementOutcome.Known
    }

    private fun record(statement: ZoneStatement) {
        known[statement.zoneId] = statement
        val ended = known.values.filterNot { it.isEvacuated }
        if (ended.size > MAX_ENDED) known -= ended.minBy { it.version }.zoneId
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
    }
}
