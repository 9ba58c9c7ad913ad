package org.lycheemount.platform.http

import io.ktor.http.HttpMethod
import org.lycheemount.common.ModelId
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.WeightLoadPermit
import org.lycheemount.platform.WeightStore

/** Weight store over HTTP. Sends `POST` to `load` below [weightStoreUrl]. */
internal class DefaultWeightStore(
    private val http: PlatformHttp,
    private val weightStoreUrl: String,
) : WeightStore {
    override suspend fun requestLoad(
        modelId: ModelId,
        version: String,
    ): TableResult<WeightLoadPermit> {
        val body = http.json.encodeToString(WeightLoadBody.serializer(), WeightLoadBody(modelId, version)).encodeToByteArray()
        val exchange = http.exchange(HttpMethod.Post, "$weightStoreUrl/load", body)
        return http.toResult(exchange, isReadOnly = false) { http.decodeJson(it, WeightLoadPermit.serializer()) }
    }
}
