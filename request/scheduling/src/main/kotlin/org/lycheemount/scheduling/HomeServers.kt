package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId

private const val MIN_SERVERS_TO_SPLIT = 3

/**
 * Names the home server of each prefix; all routers agree on it without talking, so that the first requests with a
 * prefix meet on one server.
 *
 * Work that may wait has its homes on its own part of the servers, as large as its share of the work: its long prefills
 * would delay the first tokens of urgent work for up to a second.
 */
internal class HomeServers(
    open: List<ServerState>,
    patientShare: Double,
) {
    private val ordered = open.map { it.id }.sortedBy { mix(it.value.hashCode().toLong()) }
    private val patientCount =
        if (ordered.size < MIN_SERVERS_TO_SPLIT) 0 else Math.round(patientShare * ordered.size).toInt().coerceIn(0, ordered.size - 1)

    fun homeOf(
        item: WorkItem,
        patient: Boolean,
    ): BackendServerId? {
        val root = item.prefixHashes.firstOrNull() ?: return null
        val homes =
            when {
                patientCount == 0 -> ordered
                patient -> ordered.subList(0, patientCount)
                else -> ordered.subList(patientCount, ordered.size)
            }
        return homes.maxByOrNull { mix(root xor mix(it.value.hashCode().toLong())) }
    }

    private fun mix(value: Long): Long {
        var mixed = value * -0x61c8864680b583ebL
        mixed = (mixed xor (mixed ushr 30)) * -0x40a7b892e31b1a47L
        mixed = (mixed xor (mixed ushr 27)) * -0x6b2fb644ecceee15L
        return mixed xor (mixed ushr 31)
    }
}
