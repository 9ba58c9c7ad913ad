package org.lycheemount.membership

import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId

/** A router and its region, the input to the selection of neighbours. */
data class MemberLocation(
    val routerId: RouterId,
    val regionId: RegionId,
)

/**
 * Selects the neighbours of [self] among [members], which contains [self].
 *
 * Up to [maxFullMeshRouters] routers form a full mesh. Beyond that, the routers of a region form a ring ordered by the hash of
 * their ids, with fingers at distances of powers of two. The regions form a ring of the same kind. The number of neighbours
 * grows with the logarithm of the number of routers. The result depends only on the set of members, so routers with the same
 * list agree.
 */
fun selectNeighbours(
    self: MemberLocation,
    members: Collection<MemberLocation>,
    maxFullMeshRouters: Int,
): Set<RouterId> {
    if (members.size <= maxFullMeshRouters) return members.mapTo(mutableSetOf()) { it.routerId } - self.routerId
    val order = compareBy<MemberLocation>({ mixedHash(it.routerId.value) }, { it.routerId.value })
    val regions = members.groupBy { it.regionId }.mapValues { (_, locations) -> locations.sortedWith(order) }
    val ownRegion = regions.getValue(self.regionId)
    val ownPosition = ownRegion.indexOfFirst { it.routerId == self.routerId }
    val withinRegion = fingerPositions(ownPosition, ownRegion.size).map { ownRegion[it].routerId }
    val regionIds = regions.keys.sortedBy { it.value }
    val acrossRegions =
        fingerPositions(
            regionIds.indexOf(self.regionId),
            regionIds.size,
        ).map { regions.getValue(regionIds[it]) }.map { it[ownPosition % it.size].routerId }
    return (withinRegion + acrossRegions).toSet() - self.routerId
}

private fun fingerPositions(
    position: Int,
    size: Int,
): Set<Int> {
    val positions = mutableSetOf<Int>()
    var distance = 1
    while (distance <= size / 2) {
        positions += (position + distance) % size
        positions += (position - distance + size) % size
        distance *= 2
    }
    return positions - position
}

/** Mixes the bits of `hashCode`, which gives adjacent values for names that differ in one digit. */
private fun mixedHash(name: String): Int {
    val hash = name.hashCode() * -0x61c88647
    return hash xor (hash ushr 15)
}
