package org.lycheemount.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Faults of a service stand-in, as `GET /faults` shows and `POST /faults` changes them.
 *
 * @property hanging calls run but are not answered until the switch is cleared.
 * @property delayMs further time before a call runs.
 * @property leaving calls are refused before they run.
 * @property busy calls are refused before they run, as by a full server.
 * @property failing calls are answered 500 after they ran.
 * @property dropNextResponses number of coming calls that run but whose answer is lost.
 * @property droppedResponseShare share of calls that run but whose answer is lost, from 0 to 1.
 */
@Serializable
data class ServiceFaults(
    val hanging: Boolean = false,
    val delayMs: Long = 0,
    val leaving: Boolean = false,
    val busy: Boolean = false,
    val failing: Boolean = false,
    @SerialName("loseNextAnswers")
    val dropNextResponses: Int = 0,
    @SerialName("loseAnswerShare")
    val droppedResponseShare: Double = 0.0,
)
