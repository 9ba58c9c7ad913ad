package org.lycheemount.caller

import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.ApplicationSendPipeline
import org.lycheemount.common.Clock
import org.lycheemount.common.MemoryAccount
import org.lycheemount.common.MemoryBudget

/**
 * Writes all responses of this application, which a caller server must run, as fast as their callers read them, and charges what they
 * hold to [budget] until it is sent.
 */
fun Application.installPacedResponses(
    budget: MemoryBudget,
    clock: Clock,
) {
    sendPipeline.intercept(ApplicationSendPipeline.After) { message ->
        if (message !is OutgoingContent || message is PacedContent) return@intercept
        val memory = context.openMemory(budget, clock)
        val heldBytes = if (message is OutgoingContent.ByteArrayContent) message.contentLength ?: 0 else 0
        try {
            memory.complete()
            memory.charge(heldBytes, clock.monotonicMs())
            proceedWith(pacedContent(context, message, memory, clock))
        } finally {
            memory.giveBack(heldBytes)
            memory.release()
        }
    }
}

private fun pacedContent(
    call: ApplicationCall,
    content: OutgoingContent,
    memory: MemoryAccount,
    clock: Clock,
): OutgoingContent {
    val write: suspend (PacedChannel) -> Unit =
        when (content) {
            is OutgoingContent.ByteArrayContent -> { channel -> channel.writePaced(content.bytes()) }
            is OutgoingContent.WriteChannelContent -> { channel -> content.writeTo(channel) }
            else -> return content
        }
    return PacedContent(
        call,
        content.status,
        content.contentType,
        content.contentLength,
        content.headers,
        ResponseMemory(memory, clock),
        write,
    )
}
