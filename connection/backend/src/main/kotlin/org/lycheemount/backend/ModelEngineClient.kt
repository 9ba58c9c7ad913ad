package org.lycheemount.backend

import kotlinx.coroutines.flow.Flow
import org.lycheemount.common.BackendServer
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId

/** Talks to model engines over HTTP. */
interface ModelEngineClient {
    /**
     * Generates tokens on [server]. The flow ends with exactly one [GenerateEvent.Finished] or [GenerateEvent.Failed];
     * cancelling its collection closes the connection but does not free the engine's slot, which [cancel] does.
     */
    fun generate(
        server: BackendServer,
        request: GenerateRequest,
    ): Flow<GenerateEvent>

    /** Cancels [requestId] on [server]; returns null when the engine gave no answer. */
    suspend fun cancel(
        server: BackendServer,
        requestId: RequestId,
    ): CancelResponse?

    /** Returns the engine's load as it last published it, or null when it gave no answer. */
    suspend fun load(server: BackendServer): EngineLoad?

    /** Returns cache events after [afterSequence], or null when the engine gave no answer. */
    suspend fun cacheEvents(
        server: BackendServer,
        afterSequence: Long,
    ): CacheEventPage?

    /** Sends a command with a fencing token; returns null when the outcome is unknown. */
    suspend fun command(
        server: BackendServer,
        command: EngineCommand,
    ): CommandResponse?

    /** Asks [to] to import the KV cache of [prefixHashes] of [modelId] from [from]; returns the blocks moved, or null. */
    suspend fun moveCache(
        from: BackendServer,
        to: BackendServer,
        modelId: ModelId,
        prefixHashes: List<Long>,
    ): Int?
}
