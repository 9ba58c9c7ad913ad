package org.lycheemount.listener

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AttributeKey
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.Future
import java.nio.channels.ClosedChannelException
import java.util.concurrent.TimeUnit

/**
 * Counts the requests in progress on one connection, closes the connection while it has none, and marks it when a body cannot be
 * read to its end. Used by the thread of the connection, except for [isInProgress], [isStalled], [idleSinceNs], [lastProgressNs],
 * [closeOnceIdle], [closeIfInactive] and [permitBody].
 *
 * @property memory memory of the current request.
 * @param onIdle called when no request is in progress any more.
 * @param nowNs monotonic time in nanoseconds.
 */
internal class CallerConnectionHandler(
    private val idleTimeoutS: Long,
    private val limits: () -> ConnectionLimits,
    val memory: RequestMemory,
    private val onOpened: (CallerConnectionHandler) -> Unit,
    private val onClosed: (CallerConnectionHandler) -> Unit,
    private val onIdle: () -> Unit = {},
    private val nowNs: () -> Long = System::nanoTime,
) : ChannelDuplexHandler() {
    private lateinit var context: ChannelHandlerContext
    private val announcedResponses = AnnouncedResponses()

    /** Response that is being sent, if it has been announced. */
    private var currentResponse: CallerResponse? = null

    /** Completed when the end of the current response is sent; null before it has been written, and once it has been marked as unread. */
    private var sentEnd: ChannelPromise? = null

    /** Whether a response was cut, so that the connection is closed once what was written before is sent. */
    private var isCut = false

    @Volatile
    private var requestsInProgress = 0

    /** Whether the body of a request has not been read to its end. */
    @Volatile
    var isReadingBody = false
        private set

    /** Number of bytes of the current body, with the framing of chunks, that have arrived after the response to its request. */
    var droppedBodyBytes = 0L
        private set

    /** Number of parts of responses that have been written and not sent, since the caller has not read what was sent before. */
    @Volatile
    private var unsentParts = 0

    /** Time at which the caller last sent a part of a request or took a part of a response. */
    @Volatile
    var lastProgressNs = nowNs()
        private set

    /** Called when more may be read: a response has been written, or more of a body is permitted. */
    var onReadPermitted: () -> Unit = {}

    /** Closes the connection after a response whose request has not been read to its end. */
    var onClosedInBody: () -> Unit = {}

    /** Number of bytes of the current body that may still be passed on. May be exceeded by one buffer. */
    @Volatile
    private var permittedBodyBytes = 0L

    /** Whether the handler of the request in progress must permit the rest of its body. */
    val isBodyHeld: Boolean get() = isReadingBody && isInProgress && permittedBodyBytes <= 0

    /** Whether a request has not got its whole response. */
    val isInProgress: Boolean get() = requestsInProgress > 0

    /** Whether a request has been read to its end and has not got its whole response. */
    val isAwaitingResponse: Boolean get() = isInProgress && !isReadingBody
    private var closesOnceIdle = false

    /** Time at which the last response was written, or the connection was accepted. */
    @Volatile
    var idleSinceNs = nowNs()
        private set
    private var idleCheck: Future<*>? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        context.channel().attr(RESPONSES).set(announcedResponses)
        context.channel().attr(CONNECTION).set(this)
        context
            .channel()
            .attr(ACCEPTED_AT_NS)
            .get()
            ?.let { idleSinceNs = it }
        onOpened(this)
        context.channel().closeFuture().addListener { onClosed(this) }
        checkIdleIn(idleTimeoutNs)
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is HttpRequest) {
            memory.onHead(message)
            requestsInProgress++
            isReadingBody = true
            permittedBodyBytes = limits().initialBodyBytes
            droppedBodyBytes = 0
        }
        lastProgressNs = nowNs()
        if (message is HttpContent) permittedBodyBytes -= message.content().readableBytes()
        if (message is HttpContent && message.decoderResult().isFailure) {
            markBrokenBody()
            ReferenceCountUtil.release(message)
            context.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT)
            return
        }
        if (message is LastHttpContent) isReadingBody = false
        context.fireChannelRead(message)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        // A check that is due long after the end of its connection would keep it in memory.
        idleCheck?.cancel(false)
        markBrokenBody()
        memory.release()
        currentResponse?.onClosed()
        announcedResponses.onClosed()
        context.fireChannelInactive()
    }

    @Deprecated("Deprecated in Netty for handlers of outbound events only")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        markBrokenBody()
        context.fireExceptionCaught(cause)
    }

    /** Ktor passes on the end of a body also if the connection ends before it. */
    private fun markBrokenBody() {
        if (!isReadingBody) return
        isReadingBody = false
        context.channel().attr(BROKEN_BODY).set(true)
    }

    override fun write(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        if (isCut) return discard(context, message, promise)
        if (message is HttpResponse && !isInterim(message)) onResponseHead(message)
        if (message is HttpContent) currentResponse?.onSent(message.content().readableBytes())
        val isEnd = message is LastHttpContent && !isInterim(message)
        val sent = promise.unvoid()
        if (isEnd) sentEnd = sent
        // The engine creates a message that is a whole response by itself, for example for an error before the head is sent.
        if (isEnd && message !is HttpResponse && currentResponse?.isSent == false) return closeInPlaceOf(message, sent)
        if (message is HttpContent && !isEnd) writeParts(message, sent) else writePart(message, sent, isEnd)
    }

    /** Writes [content] in parts, as the connection reports progress only at the end of a part. */
    private fun writeParts(
        content: HttpContent,
        promise: ChannelPromise,
    ) {
        val bytes = content.content()
        while (bytes.readableBytes() > MAX_PART_BYTES) {
            writePart(content.replace(bytes.readRetainedSlice(MAX_PART_BYTES)), context.newPromise())
        }
        writePart(content, promise)
    }

    private fun writePart(
        part: Any,
        promise: ChannelPromise,
        isEnd: Boolean = false,
    ) {
        unsentParts++
        promise.addListener { onPartSent(isEnd) }
        context.write(part, promise)
    }

    private fun onPartSent(isEnd: Boolean) {
        unsentParts--
        lastProgressNs = nowNs()
        memory.onPartSent()
        if (isEnd) completeRequest()
    }

    override fun flush(context: ChannelHandlerContext) {
        context.flush()
        val end = sentEnd ?: return
        sentEnd = null
        onEndFlushed(end)
    }

    /** Marks the current response as unread if its [end] has been flushed and is not sent, as the connection waits for the caller then. */
    fun onEndFlushed(end: Future<*>) {
        if (!end.isDone) memory.onUnread()
    }

    private fun onResponseHead(head: HttpResponse) {
        currentResponse = takeResponse(head)
        // The engine closes the connection only if the request asks for it.
        if (head.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)) closesOnceIdle = true
    }

    private fun takeResponse(head: HttpResponse): CallerResponse? {
        val id = head.headers().get(RESPONSE_HEADER) ?: return null
        head.headers().remove(RESPONSE_HEADER)
        return announcedResponses.take(id)
    }

    /** Closes the connection, if it has a request in progress once that has got its response. */
    fun closeOnceIdle() =
        context.executor().execute {
            closesOnceIdle = true
            if (requestsInProgress == 0) context.close()
        }

    /**
     * Whether a request in progress has waited for its caller for [MIN_STALL_NS] at [nowNs], to send the rest of its body or to read its
     * response.
     */
    fun isStalled(nowNs: Long): Boolean {
        val isWaitingForCaller = unsentParts > 0 || (isReadingBody && permittedBodyBytes > 0)
        return isInProgress && isWaitingForCaller && nowNs - lastProgressNs >= MIN_STALL_NS
    }

    /** Closes the connection unless a request is in progress that is not stalled, and tells [onResult] whether it was closed. */
    fun closeIfInactive(onResult: (Boolean) -> Unit) =
        context.executor().execute {
            val isInactive = !isInProgress || isStalled(nowNs())
            if (isInactive) context.close()
            onResult(isInactive)
        }

    /** Permits another [bytes] bytes of the body of the request in progress. */
    fun permitBody(bytes: Long) =
        context.executor().execute {
            // Limited, as the sum would overflow.
            permittedBodyBytes += minOf(bytes, Long.MAX_VALUE - permittedBodyBytes.coerceAtLeast(0))
            onReadPermitted()
        }

    /** Another [bytes] bytes are passed to the decoder. */
    fun onInput(bytes: Int) {
        if (isReadingBody && !isInProgress) droppedBodyBytes += bytes
    }

    private fun isInterim(message: Any) = message is HttpResponse && message.status().code() < FIRST_FINAL_STATUS

    private fun closeInPlaceOf(
        message: LastHttpContent,
        promise: ChannelPromise,
    ) {
        isCut = true
        ReferenceCountUtil.release(message)
        context.writeAndFlush(Unpooled.EMPTY_BUFFER, promise).addListener(ChannelFutureListener.CLOSE)
    }

    /** Drops a part of a later response. Its write fails only when the connection is closed, since the engine then closes it at once. */
    private fun discard(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        ReferenceCountUtil.release(message)
        val written = promise.unvoid()
        context.channel().closeFuture().addListener { written.tryFailure(ClosedChannelException()) }
    }

    private fun completeRequest() {
        requestsInProgress--
        memory.release()
        idleSinceNs = nowNs()
        when {
            !closesOnceIdle || isInProgress -> onReadPermitted()
            isReadingBody -> onClosedInBody()
            else -> context.close()
        }
        if (!isInProgress) onIdle()
    }

    private fun checkIdleIn(delayNs: Long) {
        idleCheck = context.executor().schedule({ closeIfIdleForLong() }, delayNs, TimeUnit.NANOSECONDS)
    }

    private fun closeIfIdleForLong() {
        if (!context.channel().isOpen) return
        val remainingNs = if (requestsInProgress > 0) idleTimeoutNs else idleTimeoutNs - (nowNs() - idleSinceNs)
        if (remainingNs > 0) checkIdleIn(remainingNs) else context.close()
    }

    private val idleTimeoutNs: Long
        get() =
            limits().idleTimeoutMs?.coerceAtLeast(MIN_IDLE_TIMEOUT_MS)?.let(TimeUnit.MILLISECONDS::toNanos)
                ?: TimeUnit.SECONDS.toNanos(idleTimeoutS)

    companion object {
        private const val FIRST_FINAL_STATUS = 200
        private const val MAX_PART_BYTES = 4_096

        // A caller needs some time between its connection and its first request.
        private const val MIN_IDLE_TIMEOUT_MS = 1_000L

        /** Time in nanoseconds after which a request that waits for its caller is stalled. */
        const val MIN_STALL_NS = 1_000_000_000L

        /** Set on a connection on which a body is malformed, or that ended within a body. */
        val BROKEN_BODY: AttributeKey<Boolean> = AttributeKey.valueOf("brokenBody")

        /** Handler of a connection. */
        val CONNECTION: AttributeKey<CallerConnectionHandler> = AttributeKey.valueOf("callerConnection")

        /** Time at which the listener accepted a connection. */
        val ACCEPTED_AT_NS: AttributeKey<Long> = AttributeKey.valueOf("acceptedAtNs")

        /** Announced responses whose heads have not been sent. */
        val RESPONSES: AttributeKey<AnnouncedResponses> = AttributeKey.valueOf("responses")

        /** Id of the announced response to which a head belongs; never sent. */
        const val RESPONSE_HEADER = "lycheemount-response"
    }
}
