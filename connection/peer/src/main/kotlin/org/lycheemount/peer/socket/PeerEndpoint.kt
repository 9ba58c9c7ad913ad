package org.lycheemount.peer.socket

import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId

/** Address at which a router listens for peers, and the VM that is expected there. */
data class PeerEndpoint(
    val routerId: RouterId,
    val vmId: VmId,
    val host: String,
    val port: Int,
)
