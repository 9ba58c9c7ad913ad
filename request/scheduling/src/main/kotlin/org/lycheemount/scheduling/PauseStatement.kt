package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.VmId

/**
 * What a backend server has said about a pause: it wants no requests of this router for some time.
 *
 * @property vmId run of the server; a later run of the same server has said nothing yet.
 * @property endsAtMs monotonic time of this router at which the pause ends.
 */
data class PauseStatement(
    val backendServerId: BackendServerId,
    val vmId: VmId,
    val endsAtMs: Long,
)
