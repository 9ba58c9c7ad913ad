package org.lycheemount.standin

import kotlinx.serialization.Serializable

/**
 * Faults of an engine stand-in, as `GET /faults` returns and `POST /faults` changes them.
 *
 * @property hanging the engine makes no progress and sends no response until this is cleared.
 * @property slowdown factor on the duration of each step.
 * @property leaving new requests are refused; running ones continue.
 * @property dieAfterTokens the engine crashes once a stream has sent this many tokens; null disables the fault.
 * @property breakStreamsAfterTokens each stream is disconnected after this many tokens but its request continues; null disables the fault.
 * @property duplicateChunkShare share of chunks sent twice, from 0 to 1.
 * @property swappedChunkShare share of chunks sent after the next chunk, from 0 to 1.
 * @property lateChunkShare share of chunks delayed by [lateChunkMs], from 0 to 1.
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
