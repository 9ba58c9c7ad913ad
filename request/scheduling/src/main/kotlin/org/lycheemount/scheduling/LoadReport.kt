package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId

/**
 * Load report of a backend server.
 *
 * @property ageMs age of the figures when they arrived.
 * @property capacity concurrent requests that the server can run.
 */
data class LoadReport(
    val backendServerId: BackendServerId,
    val ageMs: Long,
    val runningRequests: Int,
    val queuedRequests: Int,
    val capacity: Int,
)
