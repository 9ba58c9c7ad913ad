package org.lycheemount.caller

import org.lycheemount.common.RequestId
import org.lycheemount.config.Model

/** A valid chat completion request of an admitted team. */
internal class ChatWork(
    val requestId: RequestId,
    val entry: RequestGate.Entry,
    val model: Model,
    val prompt: EncodedPrompt,
    val maxOutputTokens: Int,
    val terms: WorkTerms,
    val arrivedAtMs: Long,
)
