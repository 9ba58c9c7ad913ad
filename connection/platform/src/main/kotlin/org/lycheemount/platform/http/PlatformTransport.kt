package org.lycheemount.platform.http

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod

/** Sends requests to the platform without retries. */
interface PlatformTransport {
    /**
     * Sends a request and waits for the complete response.
     *
     * @param url absolute HTTP URL.
     * @param timeoutMs timeout of the exchange; null for the default.
     */
    suspend fun exchange(
        httpMethod: HttpMethod,
        url: String,
        body: ByteArray? = null,
        bodyType: ContentType = ContentType.Application.Json,
        timeoutMs: Long? = null,
    ): PlatformExchange
}
