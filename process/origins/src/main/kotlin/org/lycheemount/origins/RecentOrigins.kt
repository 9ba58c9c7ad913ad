package org.lycheemount.origins

import org.lycheemount.common.SoftwareVersion

/** Where a stream began. [atMs] is the monotonic time of its first event, or an estimate of it. */
internal data class RecentOrigin(
    val version: SoftwareVersion,
    val atMs: Long,
    val isAmbiguous: Boolean = false,
)

/**
 * The last [capacity] streams whose origins are known. Forgets those that began more than [maxAgeMs] before a later one. Not
 * thread-safe.
 */
internal class RecentOrigins(
    private val capacity: Int,
    private val maxAgeMs: Long,
) {
    private val origins = LinkedHashMap<StreamKey, RecentOrigin>()

    val size: Int get() = origins.size

    /** Adds a stream that began at [atMs] on [version]. If its key is there with another version, its origin becomes ambiguous. */
    fun add(
        key: StreamKey,
        version: SoftwareVersion,
        atMs: Long,
    ) {
        val known = origins[key]
        if (known != null && known.version == version) return
        origins[key] = RecentOrigin(version, atMs, isAmbiguous = known != null)
        val oldest = origins.entries.first()
        if (origins.size > capacity || atMs - oldest.value.atMs > maxAgeMs) origins.remove(oldest.key)
    }

    /** Returns the streams that began at or after [sinceMs] and whose origins are not ambiguous. */
    fun since(sinceMs: Long): List<OriginCopy> =
        origins.filterValues { it.atMs >= sinceMs && !it.isAmbiguous }.map { (key, origin) -> OriginCopy(key, origin.version, origin.atMs) }

    /** Returns where the stream with [key] began, or null if that is not known. */
    fun find(key: StreamKey): RecentOrigin? = origins[key]
}
