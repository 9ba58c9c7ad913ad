package org.lycheemount.config

import kotlinx.serialization.Serializable
import org.lycheemount.common.WorkClassId

/**
 * A class of work and the targets that operators state for it.
 *
 * @property firstTokenTargetMs time from arrival to the first token, or to the answer of a plain service.
 * @property completionTargetMs time from arrival to the end of the answer.
 * @property targetShare share of requests that must meet both targets, above 0 and at most 1.
 * @property mustFinish the work may wait beyond its targets, but is never dropped for them.
 */
@Serializable
data class WorkClass(
    val workClassId: WorkClassId,
    val firstTokenTargetMs: Long,
    val completionTargetMs: Long,
    val targetShare: Double = 0.95,
    val mustFinish: Boolean = false,
)
