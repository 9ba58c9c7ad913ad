package org.lycheemount.listener

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import java.util.concurrent.TimeUnit

/**
 * Passes the bytes of one connection on to the HTTP decoder, and bounds what a caller can make this process hold and decode:
 *
 * - A request is decoded once the response to the one before it has been written. Until then, its bytes are held undecoded, and the
 *   connection is read only while few bytes are held. It is read up to that bound because the close of a connection is noticed by reading.
 * - A caller is refused if it sends too many bytes or lines that complete no message: a head, empty lines, trailers or chunk extensions.
 * - Heads are charged to the memory budget from their first byte on. A caller is refused if its memory is needed for others.
 * - A caller is refused if its head is malformed, or is not complete in time.
 * - A connection is closed if too much of a body arrives after the response to its request.
 *
 * Used by the thread of the connection.
 */
internal class CallerInputHandler(
    private val connection: CallerConnectionHandler,
    private val limits: () -> ConnectionLimits,
    private val onRefused: (ConnectionRefusal) -> Unit,
) : ChannelDuplexHandler() {
    private lateinit var context: ChannelHandlerContext

    /** Handler that is placed behind the decoder. */
    val decoded = DecodedMessageHandler({ limits().maxHeaderFields }, onMessage = ::onMessage, onFailure = ::onDecoderFailure)

    /** Bytes that have not been passed to the decoder. */
    private var held: ByteBuf? = null
    private val heldBytes: Int get() = held?.readableBytes() ?: 0
    private var isReading = false
    private var isDelivering = false

    /** Whether the next part of a body has been asked for. */
    private var isPartWanted = false

    /** Whether the decoder has returned a message since it was last called, so that it may return another one without more bytes. */
    private var mayHaveMessage = false
    private val undecoded = UndecodedInput()

    /** Whether nothing more is decoded on this connection. */
    private var isStopped = false

    /** Drops what the caller still sends; null unless the connection is about to be closed. */
    private var lingeringClose: LingeringClose? = null
    private val headTimer = HeadTimer()

    /** Whether a check of [headTimer] is scheduled. */
    private var isTiming = false

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        // One call reads one buffer, as Ktor disables automatic reading.
        context.channel().config().setRecvByteBufAllocator(HeapReceiveBuffers(READ_BYTES))
        connection.onClosedInBody = {
            discardAndClose(LingeringClose(context, limits().maxDroppedBodyBytes, LingeringClose.MAX_BODY_MS))
        }
        connection.memory.onUnreadDropped = { context.executor().execute { closeUnread() } }
        connection.onReadPermitted = {
            context.executor().execute {
                deliver()
                if (!isStopped) readIfFewHeld()
            }
        }
    }

    override fun read(context: ChannelHandlerContext) {
        isPartWanted = true
        if (held != null && !isDelivering) context.executor().execute { deliver() }
        readIfFewHeld()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message !is ByteBuf) {
            context.fireChannelRead(message)
            return
        }
        lingeringClose?.discard(message) ?: hold(message)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        isReading = false
        deliver()
        readIfFewHeld()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isStopped = true
        headTimer.stop()
        releaseHeld()
        context.fireChannelInactive()
    }

    override fun handlerRemoved(context: ChannelHandlerContext) = releaseHeld()

    private fun releaseHeld() {
        held?.release()
        held = null
    }

    private fun hold(bytes: ByteBuf) {
        val before = held
        if (before == null) {
            // A buffer with few bytes would cost its whole capacity while it is held.
            held = if (bytes.readableBytes() >= READ_BYTES / 2) bytes else context.alloc().buffer(bytes.readableBytes()).take(bytes)
        } else {
            before.take(bytes)
        }
    }

    private fun readIfFewHeld() {
        if (isReading || heldBytes >= MAX_HELD_BYTES || !context.channel().isOpen) return
        isReading = true
        context.read()
    }

    /** Passes bytes to the decoder as far as the request in progress allows it. */
    private fun deliver() {
        if (isDelivering) return
        isDelivering = true
        try {
            while (deliverPart()) Unit
        } finally {
            isDelivering = false
        }
        timeHead()
    }

    /** Passes one buffer to the decoder. Returns false if there is none, or if it must wait. */
    private fun deliverPart(): Boolean {
        if (isStopped || connection.isAwaitingResponse) return false
        if (mayHaveMessage) {
            decodeRest()
            return true
        }
        val bytes = held ?: return false
        if (connection.isReadingBody && (!isPartWanted || connection.isBodyHeld)) return false
        held = null
        decode(bytes)
        return true
    }

    private fun decode(bytes: ByteBuf) {
        isPartWanted = false
        val part = InputSize.of(bytes)
        undecoded.add(part)
        connection.onInput(part.bytes)
        if (!connection.isReadingBody && !headTimer.isRunning && bytes.forEachByte { it <= SPACE } >= 0) headTimer.start(monotonicMs())
        context.fireChannelRead(bytes)
        val limits = limits()
        if (undecoded.exceeds(limits)) {
            val detail = "more than ${limits.maxUndecodedBytes} bytes or ${limits.maxUndecodedLines} lines"
            refuse(ConnectionRefusal.HEAD_TOO_LARGE, TooLongHttpHeaderException(detail))
        }
        if (headTimer.isRunning) connection.memory.onPartOfHead(part)
        refuseIfDropped()
        decodeRest()
        checkRestOfBody(limits)
    }

    /** Charges what a request in progress has sent of its body's framing. Behind the response to a request, little of it may follow. */
    private fun checkRestOfBody(limits: ConnectionLimits) {
        if (!connection.isReadingBody) return
        if (connection.isInProgress) return connection.memory.onUndecodedBody(undecoded.bytes)
        val isTooLarge = connection.droppedBodyBytes > limits.maxDroppedBodyBytes || undecoded.bytes > MAX_DROPPED_UNDECODED_BYTES
        if (isTooLarge) refuse(ConnectionRefusal.DROPPED_BODY_TOO_LARGE)
    }

    /** Lets the decoder return the messages of the bytes that it has, up to the end of the current request. */
    private fun decodeRest() {
        while (mayHaveMessage && !isStopped && !connection.isAwaitingResponse) {
            mayHaveMessage = false
            context.fireChannelRead(Unpooled.EMPTY_BUFFER)
        }
        decoded.flushBody()
        context.fireChannelReadComplete()
    }

    /** Refuses an incomplete head whose memory is needed for others. The handler of a request refuses it after that. */
    private fun refuseIfDropped() {
        if (headTimer.isRunning && connection.memory.isDropped) refuse(ConnectionRefusal.MEMORY_EXHAUSTED)
    }

    private fun closeUnread() {
        if (!connection.memory.isDropped || !context.channel().isOpen) return
        onRefused(ConnectionRefusal.UNREAD_RESPONSE)
        context.close()
    }

    private fun onMessage() {
        mayHaveMessage = true
        undecoded.clear()
        headTimer.stop()
    }

    private fun onDecoderFailure(
        cause: Throwable,
        isHead: Boolean,
    ) {
        val isTooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        val refusal = if (isTooLong) ConnectionRefusal.HEAD_TOO_LARGE else ConnectionRefusal.MALFORMED_HEAD
        if (isHead) return refuse(refusal)
        onRefused(refusal)
        isStopped = true
        connection.closeOnceIdle()
    }

    /** Refuses the rest of what the caller sends. If a request is in progress, its body counts as malformed. */
    private fun refuse(
        refusal: ConnectionRefusal,
        cause: Exception? = null,
    ) {
        if (isStopped) return
        isStopped = true
        onRefused(refusal)
        if (connection.isReadingBody && cause != null) decoded.failBody(cause)
        if (connection.isInProgress) return connection.closeOnceIdle()
        val response = Unpooled.copiedBuffer(refusal.response, Charsets.US_ASCII)
        val written = context.writeAndFlush(response)
        connection.onEndFlushed(written)
        written.addListener { discardAndClose(LingeringClose(context, LingeringClose.MAX_BYTES, LingeringClose.SILENCE_MS)) }
    }

    private fun discardAndClose(close: LingeringClose) {
        isStopped = true
        releaseHeld()
        lingeringClose = close
        close.start()
        readIfFewHeld()
    }

    private fun timeHead() {
        if (!headTimer.isRunning || isTiming) return
        isTiming = true
        context.executor().schedule({ checkHead() }, HeadTimer.CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    private fun checkHead() {
        isTiming = false
        refuseIfDropped()
        if (isStopped || !headTimer.isRunning) return
        if (headTimer.isExpired(monotonicMs(), limits().headerTimeoutMs)) refuseUnlessRead(READS_BEFORE_TIMEOUT) else timeHead()
    }

    /** Reads what has arrived, [turns] times, before a caller is refused because of its time. */
    private fun refuseUnlessRead(turns: Int) {
        if (isStopped || !headTimer.isRunning) return
        if (turns == 0) return refuse(ConnectionRefusal.HEAD_TIMEOUT)
        // A scheduled task runs in the turn after the one in which it is added, which begins by reading the sockets.
        context.executor().schedule({ refuseUnlessRead(turns - 1) }, 0, TimeUnit.NANOSECONDS)
    }

    private companion object {
        private const val READ_BYTES = 4_096
        private const val MAX_DROPPED_UNDECODED_BYTES = 2 * READ_BYTES

        // With the buffer that is being read, a connection holds at most twice as much.
        private const val MAX_HELD_BYTES = 4_096
        private const val SPACE = ' '.code.toByte()

        // The largest head that is accepted is read in fewer turns.
        private const val READS_BEFORE_TIMEOUT = 10
    }
}

/** Adds [bytes] to this buffer and releases them. */
private fun ByteBuf.take(bytes: ByteBuf): ByteBuf {
    writeBytes(bytes)
    bytes.release()
    return this
}
