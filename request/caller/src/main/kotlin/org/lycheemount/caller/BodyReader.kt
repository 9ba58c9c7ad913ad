package org.lycheemount.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.listener.callerConnection

/** Reads request bodies with a size limit and a timeout. */
internal class BodyReader(
    private val limits: CallerLimits,
) {
    suspend fun read(call: ApplicationCall): Result<ByteArray, Refusal> {
        if ((call.request.contentLength() ?: 0) > limits.maxBodyBytes) return tooLarge()
        val body =
            withTimeoutOrNull(limits.bodyTimeoutMs) {
                call.receiveChannel().readRemaining(limits.maxBodyBytes + 1L).readByteArray()
            } ?: return Err(Refusal(RefusalReason.REQUEST_TIMEOUT, "the body did not arrive within ${limits.bodyTimeoutMs} ms"))
        val lengthBytes = call.request.contentLength()
        return when {
            body.size > limits.maxBodyBytes -> tooLarge()
            call.callerConnection?.hasBrokenBody == true ->
                Err(Refusal(RefusalReason.INVALID_REQUEST, "body: broken off after ${body.size} bytes, or malformed"))
            lengthBytes != null && body.size < lengthBytes ->
                Err(Refusal(RefusalReason.INVALID_REQUEST, "body: ended after ${body.size} of $lengthBytes bytes"))
            else -> Ok(body)
        }
    }

    private fun tooLarge() = Err(Refusal(RefusalReason.REQUEST_TOO_LARGE, "body: must be at most ${limits.maxBodyBytes} bytes"))
}
