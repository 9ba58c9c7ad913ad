package org.lycheemount.app.router.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/**
 * Writes log lines on a separate thread behind a bounded queue, so that a slow or blocked standard output delays no request.
 * While the queue is nearly full, lines of level INFO and below are dropped. When it is full, all lines are dropped. [droppedLines]
 * counts them.
 */
class BoundedAsyncAppender : AsyncAppender() {
    private val dropped = AtomicLong()

    /** Number of lines dropped since the start. */
    val droppedLines: Long get() = dropped.get()

    init {
        isNeverBlock = true
    }

    // Only this method fills the queue and it is synchronized, so the queue can only shrink between the check and the append.
    @Synchronized
    override fun append(event: ILoggingEvent) {
        val isNearlyFull = remainingCapacity < discardingThreshold
        if (remainingCapacity == 0 || (isNearlyFull && isDiscardable(event))) {
            dropped.incrementAndGet()
            return
        }
        super.append(event)
    }
}
