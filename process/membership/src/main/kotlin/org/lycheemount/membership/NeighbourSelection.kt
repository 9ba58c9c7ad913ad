package org.lycheemount.membership

import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId

/** A router and its region, as far as the choice of neighbours needs it. */
data class MemberPlace(
    val routerId: RouterId,
    val regionId: RegionId,
)

/**
 * Chooses the neighbours of [self] among [members], which contains [self].
 *
 * Up to [fullMeshUpTo] routers all are neighbours. Beyond, routers of a region form a ring by the hash of their ids, with
 * fingers at distances of powers of two, and regions form a ring of the same kind; the number of neighbours grows with the
 * logarithm of the number of routers. The choice depends on the set of members only, so routers with the same list agree.
 */
fun selectNeighbours(
    self: MemberPlace,
    members: Collection<MemberPlace>,
    fullMeshUpTo: Int,
): Set<RouterId> {
    if (members.size <= fullMeshUpTo) return members.mapTo(mutableSetOf()) { it.routerId } - self.routerId
    val order = compareBy<MemberPlace>({ spread(it.routerId.value) }, { it.routerId.value })
    val regions = members.groupBy { it.regionId }.mapValues { (_, places) -> places.sortedWith(order) }
    val own = regions.getValue(self.regionId)
    val rank = own.indexOfFirst { it.routerId == self.routerId }
    val withinRegion = fingers(rank, own.size).map { own[it].routerId }
    val regionIds = regions.keys.sortedBy { it.value }
    val acrossRegions =
        fingers(
            regionIds.indexOf(self.regionId),
            regionIds.size,
        ).map { regions.getValue(regionIds[it]) }.map { it[rank % it.size].routerId }
    return (withinRegion + acrossRegions).toSet() - self.routerId
}

private fun fingers(
    position: Int,
    size: Int,
): Set<Int> {
    val found = mutableSetOf<Int>()
    var distance = 1
    while (distance <= size / 2) {
        found += (position + distance) % size
        found += (position - distance + size) % size
        distance *= 2
    }
    return found - position
}

/** Scrambles the hash, because `hashCode` of names that differ in a digit gives neighbouring numbers. */
private fun spread(name: String): Int {
    val hash = name.hashCode() * -0x61c88647
    return hash xor (hash ushr 15)
}
