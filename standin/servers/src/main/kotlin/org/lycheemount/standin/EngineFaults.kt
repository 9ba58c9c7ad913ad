package org.lycheemount.standin

import kotlinx.serialization.Serializable

/**
 * Faults of an engine stand-in, as `GET /faults` shows and `POST /faults` changes them.
 *
 * @property hanging the engine makes no progress and answers nothing until the switch is cleared.
 * @property slowdown factor on the duration of each step.
 * @property leaving new requests are refused, running ones go on.
 * @property dieAfterTokens the engine dies when a stream has sent this many tokens; null never.
 * @property breakStreamsAfterTokens each stream is broken off after this many tokens while its request goes on; null never.
 * @property duplicateChunkShare share of chunks sent twice, from 0 to 1.
 * @property swappedChunkShare share of chunks sent after their successor, from 0 to 1.
 * @property lateChunkShare share of chunks sent [lateChunkMs] late, from 0 to 1.
 * @property cacheEventLossShare share of cache events that are lost, from 0 to 1.
 * @property checksFencingToken whether commands with a stale fencing token are refused.
 */
@Serializable
data class EngineFaults(
    val hanging: Boolean = false,
    val slowdown: Double = 1.0,
    val leaving: Boolean = false,
    val dieAfterTokens: Int? = null,
    val breakStreamsAfterTokens: Int? = null,
    val duplicateChunkShare: Double = 0.0,
    val swappedChunkShare: Double = 0.0,
    val lateChunkShare: Double = 0.0,
    val lateChunkMs: Long = 200,
    val cacheEventLossShare: Double = 0.0,
    val checksFencingToken: Boolean = true,
)
