package org.lycheemount.peer.socket

import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import java.util.concurrent.ConcurrentHashMap

/** The open link of each peer. Holds at most one link per pair, and never one to an older incarnation than already seen. */
internal class LinkTable(
    private val self: RouterIdentity,
) {
    private val links = ConcurrentHashMap<RouterId, PeerLink>()
    private val newestIncarnations = ConcurrentHashMap<RouterId, Long>()

    fun find(routerId: RouterId): PeerLink? = links[routerId]?.takeIf { it.isOpen }

    fun all(): List<PeerLink> = links.values.filter { it.isOpen }

    /** Takes [link] into use, closing the link that it replaces; returns false when [link] must be closed instead. */
    @Synchronized
    fun add(link: PeerLink): Boolean {
        val routerId = link.peer.routerId
        val newest = newestIncarnations[routerId] ?: Long.MIN_VALUE
        if (link.peer.incarnation < newest || routerId == self.routerId) return false
        newestIncarnations[routerId] = link.peer.incarnation
        val existing = find(routerId)
        if (existing != null && !replaces(link, existing)) return false
        links[routerId] = link
        existing?.close()
        return true
    }

    fun remove(link: PeerLink) {
        links.remove(link.peer.routerId, link)
    }

    /**
     * When both sides dial at the same moment, both keep the link dialed by the smaller router id. A second link dialed by the
     * same side means that this side has lost the first one.
     */
    private fun replaces(
        link: PeerLink,
        existing: PeerLink,
    ): Boolean {
        if (link.peer.incarnation > existing.peer.incarnation || link.dialedHere == existing.dialedHere) return true
        val selfIsSmaller = self.routerId.value < link.peer.routerId.value
        return link.dialedHere == selfIsSmaller
    }
}
