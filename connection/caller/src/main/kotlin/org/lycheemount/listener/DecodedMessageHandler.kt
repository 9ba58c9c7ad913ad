package org.lycheemount.listener

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.util.ReferenceCountUtil

/**
 * Receives the messages of the HTTP decoder. Joins small parts of a body, so that a body in one-byte chunks does not cost objects for each
 * chunk, and keeps heads that are malformed or have too many fields from the handlers of requests.
 *
 * @param maxFields current maximum number of fields of a head, and of trailers.
 * @param onMessage called for each decoded message.
 * @param onFailure called for a message that cannot be decoded.
 */
internal class DecodedMessageHandler(
    private val maxFields: () -> Int,
    private val onMessage: () -> Unit,
    private val onFailure: (cause: Throwable, isHead: Boolean) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private var joined: ByteBuf? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        onMessage()
        boundFields(message)
        when {
            message is HttpRequest && message.decoderResult().isFailure -> {
                ReferenceCountUtil.release(message)
                onFailure(message.decoderResult().cause(), true)
            }
            message is HttpContent && message.decoderResult().isFailure -> {
                flushBody()
                context.fireChannelRead(message)
                onFailure(message.decoderResult().cause(), false)
            }
            message is HttpContent && message !is LastHttpContent && message !is HttpRequest -> join(message)
            else -> {
                flushBody()
                context.fireChannelRead(message)
            }
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        flushBody()
        context.fireChannelInactive()
    }

    override fun handlerRemoved(context: ChannelHandlerContext) {
        joined?.release()
        joined = null
    }

    /** Passes on the parts of a body that have been joined. */
    fun flushBody() {
        val body = joined ?: return
        joined = null
        context.fireChannelRead(DefaultHttpContent(body))
    }

    /** Ends the body that is being read as malformed, for the reason [cause]. */
    fun failBody(cause: Exception) {
        flushBody()
        val end = DefaultLastHttpContent()
        end.setDecoderResult(DecoderResult.failure(cause))
        context.fireChannelRead(end)
    }

    private fun boundFields(message: Any) {
        val fields =
            when (message) {
                is HttpRequest -> message.headers()
                is LastHttpContent -> message.trailingHeaders()
                else -> return
            }
        if (fields.size() <= maxFields()) return
        (message as HttpObject).setDecoderResult(DecoderResult.failure(TooLongHttpHeaderException("more than ${maxFields()} fields")))
    }

    private fun join(part: HttpContent) {
        val content = part.content()
        if (content.readableBytes() >= JOINED_BYTES) {
            flushBody()
            context.fireChannelRead(part)
            return
        }
        val body = joined ?: context.alloc().buffer(JOINED_BYTES).also { joined = it }
        body.writeBytes(content)
        part.release()
        if (body.readableBytes() >= JOINED_BYTES) flushBody()
    }

    private companion object {
        private const val JOINED_BYTES = 1_024
    }
}
