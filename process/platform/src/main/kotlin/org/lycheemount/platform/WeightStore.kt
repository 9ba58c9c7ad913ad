package org.lycheemount.platform

import org.lycheemount.common.ModelId

/** The platform's rate-limited store of model weights. */
interface WeightStore {
    /** Asks for permission to load [version] of [modelId]; a refusal carries the wait in milliseconds. */
    suspend fun requestLoad(
        modelId: ModelId,
        version: String,
    ): TableResult<WeightLoadPermit>
}
