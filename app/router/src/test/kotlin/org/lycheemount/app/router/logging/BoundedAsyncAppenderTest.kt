package org.lycheemount.app.router.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.AppenderBase
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BoundedAsyncAppenderTest {
    private val context = LoggerContext().also { it.mdcAdapter = LogbackMDCAdapter() }
    private val output = BlockedOutput().also { it.context = context }
    private val appender =
        BoundedAsyncAppender().also {
            it.context = context
            it.queueSize = QUEUE_SIZE
            it.maxFlushTime = MAX_FLUSH_TIME_MS
            it.addAppender(output)
        }

    init {
        output.block()
        output.start()
        appender.start()
    }

    @AfterEach
    fun stop() {
        output.unblock()
        appender.stop()
    }

    private fun append(
        level: Level,
        message: String,
    ) = appender.doAppend(LoggingEvent("test", context.getLogger("test"), level, message, null, null))

    @Nested
    inner class `a blocked output` {
        @Test
        fun `does not block the logging thread, and every line is either written or counted as dropped`() {
            val logging =
                Thread {
                    repeat(LINES) { append(Level.INFO, "line $it") }
                }
            logging.start()
            logging.join(TimeUnit.SECONDS.toMillis(60))
            assertTrue(!logging.isAlive, "the logging thread is blocked")

            output.unblock()
            appender.stop()

            assertTrue(appender.droppedLines > 0)
            assertEquals(LINES.toLong(), output.lines.size + appender.droppedLines)
        }

        @Test
        fun `drops INFO lines before warnings, so that many successful requests do not hide failures`() {
            repeat(LINES) { append(Level.INFO, "plain") }
            repeat(RESERVED_LINES) { append(Level.WARN, "refused $it") }

            output.unblock()
            appender.stop()

            assertEquals(RESERVED_LINES, output.lines.count { it.startsWith("refused") })
        }
    }

    /** Appender that accepts no line while it is blocked. */
    private class BlockedOutput : AppenderBase<ILoggingEvent>() {
        val lines = CopyOnWriteArrayList<String>()

        // Stopping the appender interrupts its thread. Waiting for a lock is not interrupted by this; waiting for a latch would be.
        private val blocked = ReentrantLock()

        fun block() = blocked.lock()

        fun unblock() {
            if (blocked.isHeldByCurrentThread) blocked.unlock()
        }

        override fun append(event: ILoggingEvent) {
            blocked.withLock { lines += event.message }
        }
    }

    private companion object {
        private const val QUEUE_SIZE = 100
        private const val LINES = 1_000

        // The default of one second may end before a busy machine has written all lines.
        private const val MAX_FLUSH_TIME_MS = 60_000

        // A fifth of the queue is reserved for lines above INFO.
        private const val RESERVED_LINES = 19
    }
}
