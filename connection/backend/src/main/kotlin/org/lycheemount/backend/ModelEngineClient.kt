package org.lycheemount.backend

import kotlinx.coroutines.flow.Flow
import org.lycheemount.common.BackendServer
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId

/** HTTP client for model engines. */
interface ModelEngineClient {
    /**
     * Generates tokens on [server]. The flow ends with exactly one [GenerateEvent.Finished] or [GenerateEvent.Failed].
     * Cancelling the collection closes the connection but does not free the engine's slot; only [cancel] frees it.
     */
    fun generate(
        server: BackendServer,
        request: GenerateRequest,
    ): Flow<GenerateEvent>

    /** Cancels [requestId] on [server]; returns null if the engine did not respond. */
    suspend fun cancel(
        server: BackendServer,
        requestId: RequestId,
    ): CancelResponse?

    /** Returns the load that the engine last published, or null if it did not respond. */
    suspend fun load(server: BackendServer): EngineLoad?

    /** Returns cache events after [afterSequence], or null if the engine did not respond. */
    suspend fun cacheEvents(
        server: BackendServer,
        afterSequence: Long,
    ): CacheEventPage?

    /** Sends a command with a fencing token; returns null if the outcome is unknown. */
    suspend fun command(
        server: BackendServer,
        command: EngineCommand,
    ): CommandResponse?

    /** Makes [to] import the KV cache blocks of [prefixHashes] of [modelId] from [from]; returns the number moved, or null on failure. */
    suspend fun moveCache(
        from: BackendServer,
        to: BackendServer,
        modelId: ModelId,
        prefixHashes: List<Long>,
    ): Int?
}
