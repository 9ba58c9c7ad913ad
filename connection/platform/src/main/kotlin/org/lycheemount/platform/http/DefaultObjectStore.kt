package org.lycheemount.platform.http

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.encodeURLPathPart
import org.lycheemount.platform.ObjectStore
import org.lycheemount.platform.TableResult

/** Object store over HTTP. Sends `PUT` and `GET` for a percent-encoded key below [objectStoreUrl]. */
internal class DefaultObjectStore(
    private val http: PlatformHttp,
    private val objectStoreUrl: String,
) : ObjectStore {
    override suspend fun put(
        key: String,
        content: ByteArray,
    ): TableResult<Unit> {
        val exchange = http.exchange(HttpMethod.Put, urlOf(key), content, ContentType.Application.OctetStream)
        return http.toResult(exchange, isReadOnly = false) { }
    }

    override suspend fun get(key: String): TableResult<ByteArray?> =
        http.toResult(http.exchange(HttpMethod.Get, urlOf(key)), isReadOnly = true) { response ->
            response.body.takeIf { response.httpStatus != PlatformHttp.NOT_FOUND_STATUS }
        }

    private fun urlOf(key: String) = "$objectStoreUrl/${key.encodeURLPathPart()}"
}
