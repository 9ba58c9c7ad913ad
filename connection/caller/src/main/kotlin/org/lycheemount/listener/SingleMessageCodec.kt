package org.lycheemount.listener

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpStatusClass

/**
 * HTTP codec that decodes one message or part of a body for each buffer it is passed, so that it does not decode the requests that follow
 * the current one. Netty's server codec decodes all of a buffer.
 *
 * Expects that a request is decoded only after the response to the one before it has been written.
 */
internal class SingleMessageCodec(
    maxRequestLineBytes: Int,
    maxHeaderBytes: Int,
) : CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder>() {
    /** Method of the request in progress. A response to HEAD has no body whatever its headers say. */
    private var method: HttpMethod? = null

    init {
        val config =
            HttpDecoderConfig()
                .setMaxInitialLineLength(maxRequestLineBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setTrailersFactory(DiscardedTrailers)
        init(Decoder(config), Encoder())
    }

    private inner class Decoder(
        config: HttpDecoderConfig,
    ) : HttpRequestDecoder(config) {
        init {
            isSingleDecode = true
        }

        override fun decode(
            context: ChannelHandlerContext,
            bytes: ByteBuf,
            messages: MutableList<Any>,
        ) {
            val before = messages.size
            super.decode(context, bytes, messages)
            for (index in before until messages.size) (messages[index] as? HttpRequest)?.let { method = it.method() }
        }
    }

    private inner class Encoder : HttpResponseEncoder() {
        override fun isContentAlwaysEmpty(response: HttpResponse): Boolean =
            method == HttpMethod.HEAD || super.isContentAlwaysEmpty(response)

        override fun sanitizeHeadersBeforeEncode(
            response: HttpResponse,
            isAlwaysEmpty: Boolean,
        ) {
            // The bytes after a successful response to CONNECT are no body.
            val opensTunnel = method == HttpMethod.CONNECT && response.status().codeClass() == HttpStatusClass.SUCCESS
            if (!isAlwaysEmpty && opensTunnel) {
                response.headers().remove("transfer-encoding")
            } else {
                super.sanitizeHeadersBeforeEncode(response, isAlwaysEmpty)
            }
        }
    }
}
