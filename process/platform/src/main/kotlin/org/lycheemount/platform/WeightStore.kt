package org.lycheemount.platform

import org.lycheemount.common.ModelId

/** The platform's rate-limited store of model weights. */
interface WeightStore {
    /** Requests permission to load [version] of [modelId]. [WeightLoadPermit.RateLimited] carries the retry delay. */
    suspend fun requestLoad(
        modelId: ModelId,
        version: String,
    ): TableResult<WeightLoadPermit>
}
