package org.lycheemount.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lycheemount.common.ZoneId

/**
 * Faults of the platform stand-in, as `GET /faults` returns and `POST /faults` changes them.
 *
 * @property down every call gets 503 and has no effect.
 * @property hanging no call takes effect or gets a response until this is cleared.
 * @property delayMs delay before a call takes effect.
 * @property dropNextResponses number of next writes that take effect but whose response is dropped.
 * @property droppedResponseShare share of writes that take effect but whose response is dropped, from 0 to 1.
 * @property partitionedZones zones whose listener refuses every call, to simulate a partition from the platform.
 * @property vmListLagMs age of the returned VM list.
 * @property writesPerSecond rate limit of writes; the excess gets 429. 0 sets no limit.
 * @property readsPerSecond rate limit of reads; the excess gets 429. 0 sets no limit.
 * @property weightLoadsPerMinute rate limit of the weight store. 0 sets no limit.
 */
@Serializable
data class PlatformFaults(
    val down: Boolean = false,
    val hanging: Boolean = false,
    val delayMs: Long = 0,
    @SerialName("loseNextAnswers")
    val dropNextResponses: Int = 0,
    @SerialName("loseAnswerShare")
    val droppedResponseShare: Double = 0.0,
    @SerialName("cutZones")
    val partitionedZones: Set<ZoneId> = emptySet(),
    val vmListLagMs: Long = 0,
    val writesPerSecond: Int = 400,
    val readsPerSecond: Int = 2_000,
    val weightLoadsPerMinute: Int = 30,
)
