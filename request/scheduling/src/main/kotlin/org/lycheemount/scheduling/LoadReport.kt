package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId

/**
 * Load that a backend server reports of itself.
 *
 * @property ageMs age of the figures when they arrived.
 * @property capacity requests that it can run at once.
 */
data class LoadReport(
    val backendServerId: BackendServerId,
    val ageMs: Long,
    val runningRequests: Int,
    val queuedRequests: Int,
    val capacity: Int,
)
