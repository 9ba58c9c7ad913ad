package org.lycheemount.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lycheemount.common.ZoneId

/**
 * Faults of the platform stand-in, as `GET /faults` shows and `POST /faults` changes them.
 *
 * @property down every call is answered 503 without effect.
 * @property hanging no call is answered, and none takes effect, until the switch is cleared.
 * @property delayMs time before a call takes effect.
 * @property dropNextResponses number of coming writes that take effect but whose answer is lost.
 * @property droppedResponseShare share of writes whose answer is lost, from 0 to 1.
 * @property partitionedZones zones whose own listener refuses every call, as a partition from the platform does.
 * @property vmListLagMs age of the VM list's content.
 * @property writesPerSecond writes that are answered; the excess gets 429. 0 sets no limit.
 * @property readsPerSecond reads that are answered; the excess gets 429. 0 sets no limit.
 * @property weightLoadsPerMinute loads that the weight store permits. 0 sets no limit.
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
