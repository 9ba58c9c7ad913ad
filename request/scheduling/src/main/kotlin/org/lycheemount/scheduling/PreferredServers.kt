package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId

private const val MIN_SERVERS_TO_SPLIT = 3

/**
 * Maps each prompt prefix to a preferred server by rendezvous hashing. Routers with the same server list agree without
 * communication, so the first requests with a prefix reach the same server.
 *
 * Delay-tolerant requests are mapped to a separate group of servers, sized by their share of the work. Their long prefills
 * would otherwise delay the first tokens of urgent requests by up to a second.
 */
internal class PreferredServers(
    available: List<ServerState>,
    delayTolerantShare: Double,
) {
    private val orderedIds = available.map { it.id }.sortedBy { mix(it.value.hashCode().toLong()) }
    private val delayTolerantCount =
        when {
            orderedIds.size < MIN_SERVERS_TO_SPLIT -> 0
            else -> Math.round(delayTolerantShare * orderedIds.size).toInt().coerceIn(0, orderedIds.size - 1)
        }

    fun preferredServerOf(
        item: WorkItem,
        isDelayTolerant: Boolean,
    ): BackendServerId? {
        val affinityHash = item.affinityHash ?: item.prefixHashes.firstOrNull() ?: return null
        val candidates =
            when {
                delayTolerantCount == 0 -> orderedIds
                isDelayTolerant -> orderedIds.subList(0, delayTolerantCount)
                else -> orderedIds.subList(delayTolerantCount, orderedIds.size)
            }
        return candidates.maxByOrNull { mix(affinityHash xor mix(it.value.hashCode().toLong())) }
    }

    private fun mix(value: Long): Long {
        var mixed = value * -0x61c8864680b583ebL
        mixed = (mixed xor (mixed ushr 30)) * -0x40a7b892e31b1a47L
        mixed = (mixed xor (mixed ushr 27)) * -0x6b2fb644ecceee15L
        return mixed xor (mixed ushr 31)
    }
}
