package org.lycheemount.platform.http

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod

/** Carries single requests to the platform; never repeats one. */
interface PlatformTransport {
    /**
     * Sends one request and waits for the whole response.
     *
     * @param url absolute HTTP address.
     * @param timeoutMs time for the exchange; null for the usual one.
     */
    suspend fun exchange(
        httpMethod: HttpMethod,
        url: String,
        body: ByteArray? = null,
        bodyType: ContentType = ContentType.Application.Json,
        timeoutMs: Long? = null,
    ): PlatformExchange
}
