package org.lycheemount.budget

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.test.TestDispatcher
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.resume

/** Runs the coroutines of one router in virtual time, and queues them while its VM is paused. */
@OptIn(InternalCoroutinesApi::class)
internal class PausableDispatcher(
    private val base: TestDispatcher,
) : CoroutineDispatcher(),
    Delay {
    private val held = ArrayDeque<Pair<CoroutineContext, Runnable>>()

    var paused = false
        private set

    fun pause() {
        paused = true
    }

    fun resume() {
        paused = false
        while (held.isNotEmpty()) held.removeFirst().let { (context, block) -> base.dispatch(context, block) }
    }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        if (paused) held += context to block else base.dispatch(context, block)
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer = (base as Delay).invokeOnTimeout(timeMillis, { continuation.resume(Unit) }, continuation.context)
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle = (base as Delay).invokeOnTimeout(timeMillis, block, context)
}
