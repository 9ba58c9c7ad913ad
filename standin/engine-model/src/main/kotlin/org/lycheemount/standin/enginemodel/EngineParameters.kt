package org.lycheemount.standin.enginemodel

import kotlinx.serialization.Serializable

/**
 * Performance and limits of a simulated engine. The defaults and their reasons are in docs/engine-model.md.
 *
 * @property slots sequences in one batch.
 * @property queueLimit requests that may wait in addition to a full batch; further ones are refused.
 * @property stepBaseUs duration of a step with an empty batch.
 * @property stepPerSequenceUs additional duration of a step for each decoding sequence.
 * @property prefillPerTokenUs additional duration of a step for each prefilled prompt token.
 * @property prefillTokensPerStep maximum prompt tokens prefilled in one step, over all sequences.
 * @property cacheBlocks capacity of the prefix cache in blocks.
 * @property loadReportIntervalUs interval between load samples.
 * @property loadReportDelayUs delay until a sample is published.
 * @property cacheEventDelayUs delay until a cache event is published.
 * @property cacheEventBuffer maximum number of retained events; a reader further behind sees a gap.
 * @property cacheEventLossShare share of events that are never published, from 0 to 1; a reader sees a gap.
 * @property cacheMoveBaseUs fixed duration of a KV cache import.
 * @property cacheMovePerBlockUs additional duration for each imported block.
 * @property weightLoadUs duration of loading a model or adapter.
 */
@Serializable
data class EngineParameters(
    val slots: Int = 32,
    val queueLimit: Int = 256,
    val stepBaseUs: Long = 14_000,
    val stepPerSequenceUs: Long = 400,
    val prefillPerTokenUs: Long = 30,
    val prefillTokensPerStep: Int = 512,
    val cacheBlocks: Int = 2_048,
    val loadReportIntervalUs: Long = 500_000,
    val loadReportDelayUs: Long = 250_000,
    val cacheEventDelayUs: Long = 300_000,
    val cacheEventBuffer: Int = 1_024,
    val cacheEventLossShare: Double = 0.0,
    val cacheMoveBaseUs: Long = 5_000,
    val cacheMovePerBlockUs: Long = 150,
    val weightLoadUs: Long = 8_000_000,
)
