package org.lycheemount.standin.enginemodel

import kotlinx.serialization.Serializable

/**
 * Speed and limits of a modelled engine. The defaults and their reasons are in docs/engine-model.md.
 *
 * @property slots sequences in one batch.
 * @property queueLimit requests that may wait beyond those that fill the batch; more are refused.
 * @property stepBaseUs duration of a step with an empty batch.
 * @property stepPerSequenceUs growth of a step with each sequence that decodes in it.
 * @property prefillPerTokenUs growth of a step with each prompt token that it prefills.
 * @property prefillTokensPerStep prompt tokens that one step prefills at most, over all sequences.
 * @property cacheBlocks blocks that the prefix cache holds.
 * @property loadReportIntervalUs time between two samples of the load.
 * @property loadReportDelayUs time until a sample is published.
 * @property cacheEventDelayUs time until a cache event is published.
 * @property cacheEventBuffer events kept for readers; a reader that is further behind sees a gap.
 * @property cacheEventLossShare share of events that are never published, from 0 to 1; a reader sees a gap.
 * @property cacheMoveBaseUs fixed duration of a KV cache import.
 * @property cacheMovePerBlockUs further duration for each block imported.
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
