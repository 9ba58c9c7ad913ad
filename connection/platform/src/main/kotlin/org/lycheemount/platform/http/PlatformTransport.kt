package org.lycheemount.platform.http

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod

/** Sends requests to the platform without retries. */
interface PlatformTransport {
    /**
     * Sends a request and waits for the complete response.
     *
     * @param url absolute HTTP URL.
     * @param timeoutMs longest time without progress, null for the default: until the response begins, and then until it is complete or a
     *   further part of it has arrived. A large response may take longer as a whole.
     * @param onResponse called when the response begins, before its body has arrived.
     */
    suspend fun exchange(
        httpMethod: HttpMethod,
        url: String,
        body: ByteArray? = null,
        bodyType: ContentType = ContentType.Application.Json,
        timeoutMs: Long? = null,
        onResponse: () -> Unit = {},
    ): PlatformExchange
}
