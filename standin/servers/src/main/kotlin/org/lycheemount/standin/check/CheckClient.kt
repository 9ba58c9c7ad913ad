package org.lycheemount.standin.check

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** A complete HTTP response; header names are in lower case. */
internal class CheckResponse(
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
) {
    val requestId: String? get() = headers["x-lycheemount-request-id"]
    val outcome: String? get() = headers["x-lycheemount-outcome"]
}

/** HTTP client of the check. */
internal class CheckClient : AutoCloseable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            engine { requestTimeout = 0 }
        }

    /** Sends one request; returns null if no complete response arrives within the timeout. */
    suspend fun send(
        method: String,
        url: String,
        headers: Map<String, String> = emptyMap(),
        body: String? = null,
    ): CheckResponse? =
        try {
            withTimeoutOrNull(TIMEOUT_MS) {
                val response =
                    client.request(url) {
                        this.method = HttpMethod(method)
                        headers.forEach { (name, value) -> header(name, value) }
                        if (body != null) setBody(body)
                    }
                val names = response.headers.names().associate { it.lowercase() to response.headers[it].orEmpty() }
                CheckResponse(response.status.value, names, response.bodyAsText())
            }
        } catch (failure: IOException) {
            null
        }

    override fun close() = client.close()

    private companion object {
        private const val TIMEOUT_MS = 60_000L
    }
}
