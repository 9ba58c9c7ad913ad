package org.lycheemount.caller

import org.junit.jupiter.api.Nested
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.ConfigurationView
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationIndexTest {
    /** Active configuration; the thread named [SLOW_THREAD] is paused between reading and using it. */
    private class PausingView : ConfigurationView {
        @Volatile
        var snapshot = ConfigurationSnapshot()
        val isPaused = CountDownLatch(1)
        val mayGoOn = CountDownLatch(1)

        override fun current(): ConfigurationSnapshot {
            val read = snapshot
            if (Thread.currentThread().name == SLOW_THREAD) {
                isPaused.countDown()
                mayGoOn.await()
            }
            return read
        }
    }

    @Nested
    inner class `a newer configuration that is indexed while a slower thread still indexes an older one` {
        @Test
        fun `is the one that later requests are matched by, guarding against requests run by a service of the older one`() {
            val view = PausingView()
            val derived = CopyOnWriteArrayList<Long>()
            lateinit var slowThread: Thread
            val index =
                ConfigurationIndex(view) { snapshot ->
                    derived += snapshot.sequence
                    if (snapshot.sequence == NEWER) {
                        view.mayGoOn.countDown()
                        while (slowThread.isAlive && slowThread.state != Thread.State.BLOCKED) Thread.onSpinWait()
                    }
                    snapshot.sequence
                }
            view.snapshot = ConfigurationSnapshot(sequence = OLDER)
            slowThread = thread(name = SLOW_THREAD) { index.current() }
            view.isPaused.await()
            view.snapshot = ConfigurationSnapshot(sequence = NEWER)

            val current = index.current()

            slowThread.join()
            assertEquals(NEWER, current)
            assertEquals(NEWER, derived.last())
        }
    }

    private companion object {
        private const val SLOW_THREAD = "slow"
        private const val OLDER = 1L
        private const val NEWER = 2L
    }
}
