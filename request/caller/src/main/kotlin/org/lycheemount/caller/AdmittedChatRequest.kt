package org.lycheemount.caller

import org.lycheemount.common.RequestId
import org.lycheemount.config.Model

/** A validated chat completion request that has passed admission. */
internal class AdmittedChatRequest(
    val requestId: RequestId,
    val admission: AdmissionController.Admission,
    val model: Model,
    val prompt: EncodedPrompt,
    val maxOutputTokens: Int,
    val options: RequestOptions,
    val arrivedAtMs: Long,
)
