package org.lycheemount.peer.socket

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerHandler
import org.lycheemount.peer.PeerReply
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Authenticated connection to [peer]. */
internal class PeerLink(
    val peer: RouterIdentity,
    val isOutbound: Boolean,
    private val frames: FrameStream,
    private val settings: PeerLinkSettings,
    private val handlers: Map<PeerChannel, PeerHandler>,
    private val log: EventLog,
) {
    private val sendQueue = Channel<OutboundFrame>(settings.sendQueueFrames)
    private val queuedBytes = AtomicLong()
    private val calls = ConcurrentHashMap<Long, CompletableDeferred<PeerReply>>()
    private val callIds = AtomicLong()
    private val activeHandlers = AtomicInteger()
    private val closed = AtomicBoolean()
    private val ended = CompletableDeferred<String>()
    private val sentSinceLastCheck = AtomicBoolean()

    // Counted in checks rather than measured, so that a process that got no processor time for a while reads before it closes links.
    private val checksWithoutFrame = AtomicInteger()
    private val checksWithoutWriteProgress = AtomicInteger()

    @Volatile
    private var isWriting = false

    /** Calls and messages since the last [checkAndClearUsed], so that an unused link can be closed. */
    private val useCount = AtomicLong()

    val isOpen: Boolean get() = !closed.get()

    val queuedFrameBytes: Long get() = queuedBytes.get()

    val pendingCalls: Int get() = calls.size

    /** Reads and writes frames until the link fails or is closed; returns the reason. */
    suspend fun run(): String {
        var failureDetail = "cancelled"
        try {
            coroutineScope {
                launch { writeLoop() }
                readLoop(this)
            }
        } catch (failure: Exception) {
            failureDetail = failure.message ?: failure.javaClass.simpleName
        } finally {
            close(failureDetail)
        }
        return ended.await()
    }

    /** Waits until the link is closed by either side. */
    suspend fun awaitClosed() {
        ended.await()
    }

    /**
     * Sends a keep-alive if nothing else was sent since the last call, and closes a link whose peer sends or reads nothing. The owner
     * calls this for all links at the keep-alive interval, which takes one timer instead of several for each link.
     */
    fun checkLiveness() {
        val maxChecks = settings.idleTimeoutMs / settings.keepAliveIntervalMs
        when {
            checksWithoutFrame.incrementAndGet() > maxChecks -> close("no complete frame within ${settings.idleTimeoutMs} ms")
            isWriting && checksWithoutWriteProgress.incrementAndGet() > maxChecks ->
                close("peer read nothing for ${settings.idleTimeoutMs} ms")
            !sentSinceLastCheck.getAndSet(false) -> enqueue(OutboundFrame(encodedKeepAlive))
        }
    }

    /** Closes the link for [reason], unless it is closed already. */
    fun close(reason: String = "closed by this router") {
        if (!closed.compareAndSet(false, true)) return
        ended.complete(reason)
        frames.close()
        sendQueue.close()
        while (true) sendQueue.tryReceive().getOrNull()?.also { it.withdraw() } ?: break
        calls.keys.toList().forEach { calls.remove(it)?.complete(PeerReply.Unknown) }
    }

    suspend fun call(
        channel: PeerChannel,
        payload: ByteArray,
        timeoutMs: Long,
    ): PeerReply {
        val callId = callIds.incrementAndGet()
        val reply = CompletableDeferred<PeerReply>()
        val message = OutboundFrame(encodeFrame(WireFrame.Call(callId, channel.value, payload)))
        calls[callId] = reply
        try {
            if (!enqueue(message)) return PeerReply.NotDelivered
            useCount.incrementAndGet()
            val result = withTimeoutOrNull(timeoutMs) { reply.await() } ?: PeerReply.Unknown
            // If the frame can be withdrawn, the writer has not claimed it, so the call was certainly not sent.
            return if (result is PeerReply.Unknown && message.withdraw()) PeerReply.NotDelivered else result
        } finally {
            message.withdraw()
            calls.remove(callId)
        }
    }

    fun send(
        channel: PeerChannel,
        payload: ByteArray,
    ): Boolean {
        useCount.incrementAndGet()
        return enqueue(OutboundFrame(encodeFrame(WireFrame.Message(channel.value, payload))))
    }

    /** Returns whether this process has used the link since the last call of this function. Calls in progress count as use. */
    fun checkAndClearUsed(): Boolean = useCount.getAndSet(0) > 0 || calls.isNotEmpty() || activeHandlers.get() > 0

    private fun enqueue(message: OutboundFrame): Boolean {
        if (closed.get() || message.body.size > settings.maxFrameBytes) return false
        if (queuedBytes.addAndGet(message.body.size.toLong()) > settings.sendQueueBytes || !sendQueue.trySend(message).isSuccess) {
            queuedBytes.addAndGet(-message.body.size.toLong())
            return false
        }
        if (closed.get()) message.withdraw()
        sentSinceLastCheck.set(true)
        return true
    }

    private suspend fun writeLoop() {
        for (first in sendQueue) {
            isWriting = true
            writeBatch(first)
            isWriting = false
        }
    }

    private suspend fun writeBatch(first: OutboundFrame) {
        var next: OutboundFrame? = first
        while (next != null) {
            writeUnlessWithdrawn(next)
            next = sendQueue.tryReceive().getOrNull()
        }
        frames.flush()
    }

    private suspend fun writeUnlessWithdrawn(message: OutboundFrame) {
        queuedBytes.addAndGet(-message.body.size.toLong())
        checksWithoutWriteProgress.set(0)
        if (message.claim()) frames.write(message.body)
    }

    private suspend fun readLoop(scope: CoroutineScope): Nothing {
        while (true) {
            val frame = frames.read(settings.maxFrameBytes)
            checksWithoutFrame.set(0)
            when (frame) {
                is WireFrame.Call -> dispatch(scope, frame.callId, frame.channel, frame.payload)
                is WireFrame.Message -> dispatch(scope, null, frame.channel, frame.payload)
                is WireFrame.Reply -> calls.remove(frame.callId)?.complete(PeerReply.Received(frame.payload))
                is WireFrame.Rejected -> calls.remove(frame.callId)?.complete(PeerReply.NotDelivered)
                is WireFrame.KeepAlive -> Unit
                else -> throw LinkFailure("unexpected handshake frame")
            }
        }
    }

    private fun dispatch(
        scope: CoroutineScope,
        callId: Long?,
        channel: String,
        payload: ByteArray,
    ) {
        val handler = handlers[PeerChannel(channel)]
        if (handler == null || activeHandlers.get() >= settings.maxHandlersPerLink) {
            if (callId != null) enqueue(OutboundFrame(encodeFrame(WireFrame.Rejected(callId))))
            return
        }
        activeHandlers.incrementAndGet()
        scope.launch {
            try {
                val reply = handler.handle(peer, payload)
                if (callId != null && reply != null) sendReply(callId, reply)
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failure: Exception) {
                log.warn("peer_handler_failed", "peer" to peer.routerId.value, "channel" to channel, "error" to failure.toString())
            } finally {
                activeHandlers.decrementAndGet()
            }
        }
    }

    private fun sendReply(
        callId: Long,
        payload: ByteArray,
    ) {
        val frame = OutboundFrame(encodeFrame(WireFrame.Reply(callId, payload)))
        if (!enqueue(frame)) log.warn("peer_answer_dropped", "peer" to peer.routerId.value, "bytes" to payload.size)
    }

    /** Queued frame that is either claimed by the writer or withdrawn by its sender, never both. */
    private class OutboundFrame(
        val body: ByteArray,
    ) {
        private val state = AtomicInteger(QUEUED)

        fun claim(): Boolean = state.compareAndSet(QUEUED, CLAIMED)

        /** Returns whether it is certain that the frame is not written. */
        fun withdraw(): Boolean = state.compareAndSet(QUEUED, WITHDRAWN) || state.get() == WITHDRAWN
    }

    private companion object {
        private const val QUEUED = 0
        private const val CLAIMED = 1
        private const val WITHDRAWN = 2
        private val encodedKeepAlive = encodeFrame(WireFrame.KeepAlive)
    }
}
