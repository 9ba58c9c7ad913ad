package org.lycheemount.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Faults of a service stand-in, as `GET /faults` returns and `POST /faults` changes them.
 *
 * @property hanging calls are executed but get no response until this is cleared.
 * @property delayMs additional delay before a call is executed.
 * @property leaving calls are refused without being executed.
 * @property busy calls are refused without being executed, as by a server at capacity.
 * @property failing calls are executed but get status 500.
 * @property dropNextResponses number of next calls that are executed but whose response is dropped.
 * @property droppedResponseShare share of calls that are executed but whose response is dropped, from 0 to 1.
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
