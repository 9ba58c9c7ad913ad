package org.lycheemount.app.router.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/**
 * Hands log lines to a thread of its own through a bounded queue, so that a slow or blocked standard output delays no request.
 * While the queue is nearly full, lines of level INFO and below are dropped; when it is full, all lines are. [droppedLines] counts them.
 */
class BoundedAsyncAppender : AsyncAppender() {
    private val dropped = AtomicLong()

    /** Lines dropped since the start. */
    val droppedLines: Long get() = dropped.get()

    init {
        isNeverBlock = true
    }

    // Only appending threads fill the queue, so between the check and the offer of one of them it only empties.
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
