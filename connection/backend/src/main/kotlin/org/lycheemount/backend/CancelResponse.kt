package org.lycheemount.backend

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Response of `POST /v1/cancel`; [generatedTokens] counts the output tokens generated before the cancellation. */
@Serializable
data class CancelResponse(
    @SerialName("found")
    val wasFound: Boolean,
    val generatedTokens: Int = 0,
)
