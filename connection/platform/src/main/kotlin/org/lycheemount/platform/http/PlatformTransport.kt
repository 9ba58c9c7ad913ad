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
     * @param maxBytes limit on the length of the body of the response. A longer one is not read, or not to its end.
     * @param onResponse called when the response begins, before its body has arrived.
     */
    suspend fun exchange(
        httpMethod: HttpMethod,
        url: String,
        body: ByteArray? = null,
        bodyType: ContentType = ContentType.Application.Json,
        timeoutMs: Long? = null,
        maxBytes: Int = MAX_RESPONSE_BYTES,
        onResponse: () -> Unit = {},
    ): PlatformExchange
}

// Pages of rows and objects have a few megabytes.
private const val MAX_RESPONSE_BYTES = 32 * 1_048_576
