package org.lycheemount.peer.socket

import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import java.util.concurrent.ConcurrentHashMap

/** Open links by peer. Holds at most one link per peer, and never one to an incarnation older than the newest seen. */
internal class LinkTable(
    private val self: RouterIdentity,
) {
    private val links = ConcurrentHashMap<RouterId, PeerLink>()
    private val newestIncarnations = ConcurrentHashMap<RouterId, Long>()

    fun find(routerId: RouterId): PeerLink? = links[routerId]?.takeIf { it.isOpen }

    fun all(): List<PeerLink> = links.values.filter { it.isOpen }

    /** Adds [link] unless another link to the same peer is preferred. */
    @Synchronized
    fun add(link: PeerLink): AddOutcome {
        val routerId = link.peer.routerId
        val newest = newestIncarnations[routerId] ?: Long.MIN_VALUE
        if (link.peer.incarnation < newest || routerId == self.routerId) return AddOutcome.Rejected
        newestIncarnations[routerId] = link.peer.incarnation
        val existing = find(routerId)
        if (existing != null && !isPreferredOver(link, existing)) return AddOutcome.ExistingPreferred
        links[routerId] = link
        if (existing == null || existing.peer.incarnation == link.peer.incarnation) return AddOutcome.Added(replaced = existing)
        existing.close()
        return AddOutcome.Added(replaced = null)
    }

    fun remove(link: PeerLink) {
        links.remove(link.peer.routerId, link)
    }

    /**
     * If both sides dial at the same time, both keep the link dialed by the router with the smaller id. A second link dialed by
     * the same side means that this side has lost the first one, so the new link replaces it.
     */
    private fun isPreferredOver(
        link: PeerLink,
        existing: PeerLink,
    ): Boolean {
        if (link.peer.incarnation > existing.peer.incarnation || link.isOutbound == existing.isOutbound) return true
        val selfIsSmaller = self.routerId.value < link.peer.routerId.value
        return link.isOutbound == selfIsSmaller
    }
}

/** Outcome of adding a link. */
internal sealed interface AddOutcome {
    /** The link was added; [replaced] may still carry calls in progress. */
    data class Added(
        val replaced: PeerLink?,
    ) : AddOutcome

    /** The existing link to the same incarnation of the peer is kept. */
    data object ExistingPreferred : AddOutcome

    /** The peer is an older incarnation or this process itself. */
    data object Rejected : AddOutcome
}
