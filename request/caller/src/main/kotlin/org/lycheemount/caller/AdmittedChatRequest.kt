package org.lycheemount.caller

import org.lycheemount.common.RequestId
import org.lycheemount.config.Model

/** A valid chat completion request of an admitted team. */
internal class AdmittedChatRequest(
    val requestId: RequestId,
    val admission: AdmissionController.Admission,
    val model: Model,
    val prompt: EncodedPrompt,
    val maxOutputTokens: Int,
    val options: RequestOptions,
    val arrivedAtMs: Long,
)
