package org.lycheemount.config

import kotlinx.serialization.Serializable
import org.lycheemount.common.WorkClassId

/**
 * A class of requests and the latency targets that operators set for it.
 *
 * @property firstTokenTargetMs target time from arrival to the first token, or to the response of a plain service.
 * @property completionTargetMs target time from arrival to the end of the response.
 * @property targetShare share of requests that must meet both targets, above 0 and at most 1.
 * @property mustFinish whether requests are kept in the queue after they have missed their targets instead of being dropped.
 */
@Serializable
data class WorkClass(
    val workClassId: WorkClassId,
    val firstTokenTargetMs: Long,
    val completionTargetMs: Long,
    val targetShare: Double = 0.95,
    val mustFinish: Boolean = false,
)
