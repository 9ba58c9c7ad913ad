package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.VmId

/**
 * What a backend server has said about the rate of requests that it takes from all routers together.
 *
 * @property vmId run of the server; a later run of the same server has said nothing yet.
 * @property requestsPerS null if it takes requests without such a limit.
 * @property asOfMs monotonic time of this router at which the statement was certainly true.
 * @property endsAtMs monotonic time of this router at which the limit ends by itself; null if it holds until the server says otherwise.
 */
data class RequestLimitStatement(
    val backendServerId: BackendServerId,
    val vmId: VmId,
    val requestsPerS: Double?,
    val asOfMs: Long,
    val endsAtMs: Long? = null,
)
