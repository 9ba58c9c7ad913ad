package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.VmId

/**
 * What a backend server has said about its own shutdown.
 *
 * @property vmId run of the server; a later run of the same server has said nothing yet.
 * @property isLeaving whether it is about to shut down; false takes back an earlier statement.
 * @property asOfMs monotonic time of this router at which the server first said so.
 */
data class LeavingStatement(
    val backendServerId: BackendServerId,
    val vmId: VmId,
    val isLeaving: Boolean,
    val asOfMs: Long,
)
