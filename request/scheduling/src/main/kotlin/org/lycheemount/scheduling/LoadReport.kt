package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId

/**
 * Load report of a backend server.
 *
 * @property ageMs age of the figures when they arrived.
 * @property capacity concurrent requests that the server can run.
 * @property workTime how long work takes on the server's machine when the report was made; null if the server does not say.
 */
data class LoadReport(
    val backendServerId: BackendServerId,
    val ageMs: Long,
    val runningRequests: Int,
    val queuedRequests: Int,
    val capacity: Int,
    val workTime: WorkTimeFactor? = null,
)
