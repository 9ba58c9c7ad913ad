package org.lycheemount.peer.socket

import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId

/** Where a router listens for its peers, and which VM is expected to answer there. */
data class PeerEndpoint(
    val routerId: RouterId,
    val vmId: VmId,
    val host: String,
    val port: Int,
)
