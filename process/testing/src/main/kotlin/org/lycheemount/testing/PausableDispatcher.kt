package org.lycheemount.testing

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.resume

/**
 * Runs the coroutines of one router in virtual time, and queues them while its VM is paused.
 *
 * @param delegate a dispatcher of `kotlinx-coroutines-test`.
 */
@OptIn(InternalCoroutinesApi::class)
class PausableDispatcher(
    private val delegate: CoroutineDispatcher,
) : CoroutineDispatcher(),
    Delay {
    private val queuedBlocks = ArrayDeque<Pair<CoroutineContext, Runnable>>()

    /** Whether coroutines wait. */
    var isPaused: Boolean = false
        private set

    /** Lets coroutines wait from now on, also those whose delay ends. */
    fun pause() {
        isPaused = true
    }

    /** Runs the coroutines that have waited, in order. */
    fun resume() {
        isPaused = false
        while (queuedBlocks.isNotEmpty()) queuedBlocks.removeFirst().let { (context, block) -> delegate.dispatch(context, block) }
    }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        if (isPaused) queuedBlocks += context to block else delegate.dispatch(context, block)
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer = (delegate as Delay).invokeOnTimeout(timeMillis, { continuation.resume(Unit) }, continuation.context)
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle = (delegate as Delay).invokeOnTimeout(timeMillis, block, context)
}
