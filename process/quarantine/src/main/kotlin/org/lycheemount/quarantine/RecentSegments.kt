package org.lycheemount.quarantine

/** The last [capacity] different segments that were added. Not thread-safe. */
internal class RecentSegments(
    private val capacity: Int,
) {
    private val segments = LinkedHashSet<SegmentId>()

    /** Adds [segment] as the most recent one. */
    fun add(segment: SegmentId) {
        segments.remove(segment)
        segments += segment
        if (segments.size > capacity) segments.remove(segments.first())
    }

    operator fun contains(segment: SegmentId): Boolean = segment in segments
}
