package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.VmId

/**
 * A server that has started lately and breaks under a usual load.
 *
 * @property vmId run of the server that is cold.
 * @property requestsPerS requests that all routers together may send it.
 * @property endsAtMs monotonic time of this router until which it is cold.
 */
data class ColdServer(
    val backendServerId: BackendServerId,
    val vmId: VmId,
    val requestsPerS: Double,
    val endsAtMs: Long,
)
