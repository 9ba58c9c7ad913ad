package org.lycheemount.origins

import org.lycheemount.common.SoftwareVersion

/**
 * Copies of origins that routers keep for each other, so that a record is not lost with the router that began the stream: those that this
 * router still has to send, and those that it keeps for others. Does no I/O; not thread-safe.
 */
internal class OriginCopies {
    private val outgoing = ArrayDeque<OriginCopy>()
    private val kept = LinkedHashMap<Pair<StreamKey, SoftwareVersion>, WaitingOrigin>()

    /** Number of streams of other routers whose origins this router keeps. */
    val keptCount: Int get() = kept.size

    /** The stream with [key] began on [version] at monotonic time [atMs] at this router. */
    fun add(
        key: StreamKey,
        version: SoftwareVersion,
        atMs: Long,
    ) {
        outgoing += OriginCopy(key, version, atMs)
        if (outgoing.size > MAX_COPIES) outgoing.removeFirst()
    }

    /** Replaces all copies to be sent by [copies], for a peer that has none of them yet. */
    fun sendAll(copies: List<OriginCopy>) {
        outgoing.clear()
        outgoing += copies.takeLast(MAX_COPIES)
    }

    /** Removes up to [limit] copies to be sent, and returns them with as many of [unwritten]. */
    fun take(
        limit: Int,
        unwritten: List<WaitingOrigin>,
    ) = OriginCopyBatch(List(minOf(limit, outgoing.size)) { outgoing.removeFirst() }, unwritten.take(limit))

    /** [batch] was taken and has not reached the peer. */
    fun putBack(batch: OriginCopyBatch) {
        outgoing.addAll(0, batch.taken)
        repeat(outgoing.size - MAX_COPIES) { outgoing.removeFirst() }
    }

    /** Keeps [copy] for the router that has sent it, which may do so again after its link was interrupted. */
    fun keep(
        copy: OriginCopy,
        nowMs: Long,
    ) {
        kept.putIfAbsent(copy.key to copy.version, WaitingOrigin(copy.key, copy.version, copy.atMs, isOfPeer = true))
        while (kept.size > MAX_COPIES || isOldestExpired(nowMs)) kept.remove(kept.keys.first())
    }

    private fun isOldestExpired(nowMs: Long) = kept.values.firstOrNull()?.let { nowMs - it.atMs > OriginJournal.MAX_AGE_MS } ?: false

    /** Removes and returns the copies that are kept for other routers. */
    fun takeKept(): List<WaitingOrigin> = kept.values.toList().also { kept.clear() }

    private companion object {
        private const val MAX_COPIES = 20_000
    }
}

/**
 * Origin of a stream, for a peer.
 *
 * @property atMs monotonic time at which the stream began.
 * @property isUnwritten whether its record is needed and the router that began it cannot reach the table.
 */
internal data class OriginCopy(
    val key: StreamKey,
    val version: SoftwareVersion,
    val atMs: Long,
    val isUnwritten: Boolean = false,
)

/**
 * Copies that are sent together.
 *
 * @property taken copies that the peer is to keep.
 * @property unwritten origins whose records the peer is to write.
 */
internal class OriginCopyBatch(
    val taken: List<OriginCopy>,
    val unwritten: List<WaitingOrigin>,
) {
    /** What is sent. */
    val copies: List<OriginCopy> = taken + unwritten.map { OriginCopy(it.key, it.version, it.atMs, isUnwritten = true) }
}
