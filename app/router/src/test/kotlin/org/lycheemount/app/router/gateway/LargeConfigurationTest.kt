package org.lycheemount.app.router.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.config.PublishedConfiguration
import org.lycheemount.platform.adapter.createOperatorRowWatcher
import org.lycheemount.platform.adapter.testing.SlowStoreLink
import org.lycheemount.testing.FakeEventLog
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

@OptIn(ExperimentalCoroutinesApi::class)
class LargeConfigurationTest {
    /** A router whose link leaves [bytesPerMs] to the store. At 350, a read of [ROUTES] routes takes 1.7 s. */
    private inner class Router(
        private val scope: TestScope,
        bytesPerMs: Int,
    ) {
        private val clock = scope.virtualClock()
        val link = SlowStoreLink(scope.backgroundScope, bytesPerMs)
        private val configuration = PublishedConfiguration(FakeEventLog())
        private val store = createStoreClient(link, "127.0.0.1:1", clock, FakeEventLog())
        private val listener =
            ConfigurationRowListener(ConfigurationLoader(configuration, clock, FakeEventLog()) {}, clock, FakeEventLog())
        private val watcher = createOperatorRowWatcher(store)
        val refresher = ConfigurationRefresher(clock, watcher::isReceiving, awaitCurrent = watcher::awaitCurrent)
        val nowMs get() = scope.currentTime
        val version get() = configuration.current().sequence

        fun start() {
            scope.backgroundScope.launch { watcher.watch(listener) }
        }

        /** Starts the router, which has version 1 with a few routes afterwards. */
        suspend fun startWithSmallConfiguration() {
            link.publish(1, routeCount = 10)
            start()
            delay(1_000)
        }

        /** Publishes [version] and checks that it is in force in time. */
        suspend fun assertInForceInTime(version: Long) {
            link.publish(version, ROUTES)
            delay(CONFIGURATION_APPLY_MS)
            assertTrue(this.version >= version, "version ${this.version} is in force $CONFIGURATION_APPLY_MS ms after $version")
        }
    }

    private fun runRouter(
        bytesPerMs: Int = 350,
        steps: suspend Router.() -> Unit,
    ) = runTest { Router(this, bytesPerMs).steps() }

    @Nested
    inner class `a large configuration on a slow link` {
        @Test
        fun `is in force in time after a start, guarding against reads that are abandoned while they make progress`() =
            runRouter {
                start()
                assertInForceInTime(1)
            }

        @Test
        fun `is in force in time after the store has lost its history, guarding against a row that is never read to its end`() =
            runRouter {
                startWithSmallConfiguration()

                link.compactHistory()
                assertInForceInTime(2)
            }

        @Test
        fun `is in force in time whenever it is published, guarding against responses that are cut off by the end of a long poll`() {
            for (offsetMs in 0L..2_400L step 100) {
                runRouter {
                    link.publish(1, routeCount = 10)
                    start()
                    delay(1_000 + offsetMs)

                    assertInForceInTime(2)
                }
            }
        }
    }

    @Nested
    inner class `a series of large configurations` {
        @Test
        fun `that is published while the router is cut off is skipped but for the newest, guarding against reads of every version`() =
            runRouter {
                startWithSmallConfiguration()
                link.isSilent = true
                for (version in 2L..7L) {
                    link.publish(version, ROUTES)
                    delay(1_000)
                }
                link.isSilent = false
                delay(CONTACT_MS)

                assertTrue(version >= 7, "version $version is in force $CONTACT_MS ms after the cut")
            }

        @Test
        fun `is in force in time, guarding against reads that grow with each version`() =
            runRouter(bytesPerMs = 700) {
                startWithSmallConfiguration()
                val firstAtMs = nowMs
                for (newest in 2L..30L) {
                    link.publish(newest, ROUTES)
                    delay(SERIES_INTERVAL_MS)
                    val dueVersion = 1 + (nowMs - firstAtMs - CONFIGURATION_APPLY_MS) / SERIES_INTERVAL_MS
                    assertTrue(version >= dueVersion, "version $version is in force, $dueVersion is due")
                }
            }
    }

    @Nested
    inner class `callers that ask for unknown routes` {
        @Test
        fun `do not delay a large configuration, guarding against reads for them that fill the link`() =
            runRouter {
                startWithSmallConfiguration()
                besideCallersOfUnknownRoutes {
                    assertInForceInTime(2)
                    assertInForceInTime(3)
                }
            }
    }

    @Nested
    inner class `a request for a route that was just added` {
        @Test
        fun `waits for the configuration that is arriving, which is read once, guarding against 503 for routes that are there`() =
            runRouter {
                startWithSmallConfiguration()
                link.publish(2, ROUTES)
                delay(100)

                assertTrue(refresher.refresh(patienceMs = 2_000))
                assertEquals(2, version)
                assertTrue(link.configurationBytes < 1.1 * link.newestBytes, "${link.configurationBytes} bytes of configurations")
            }

        @Test
        fun `does not wait longer than its deadline bears`() =
            runRouter {
                startWithSmallConfiguration()
                link.publish(2, ROUTES)
                delay(100)

                val startedAtMs = nowMs
                assertFalse(refresher.refresh(patienceMs = 700))
                assertEquals(700, nowMs - startedAtMs)
            }
    }

    @Nested
    inner class `a request for an unknown route` {
        @Test
        fun `is answered at once while nothing changes, guarding against waits for the end of a long poll`() =
            runRouter {
                startWithSmallConfiguration()

                val startedAtMs = nowMs
                assertTrue(refresher.refresh(patienceMs = 2_000))
                assertTrue(nowMs - startedAtMs < 20)
                assertEquals(link.newestBytes, link.configurationBytes)
            }

        @Test
        fun `is not kept waiting by a store that does not respond`() =
            runRouter {
                startWithSmallConfiguration()
                link.isSilent = true

                val startedAtMs = nowMs
                assertFalse(refresher.refresh(patienceMs = 2_000))
                assertEquals(250, nowMs - startedAtMs)
            }
    }

    /** Runs [steps] while callers ask for unknown routes all the time. */
    private suspend fun Router.besideCallersOfUnknownRoutes(steps: suspend () -> Unit) =
        coroutineScope {
            val callers =
                launch {
                    while (true) {
                        launch { refresher.refresh(patienceMs = 2_000) }
                        delay(REQUEST_INTERVAL_MS)
                    }
                }
            steps()
            callers.cancel()
        }

    private companion object {
        private const val ROUTES = 1_450
        private const val CONFIGURATION_APPLY_MS = 3_000L
        private const val SERIES_INTERVAL_MS = 300L

        // Configurations are due on routers that have reached the store for so long.
        private const val CONTACT_MS = 4_000L
        private const val REQUEST_INTERVAL_MS = 50L
    }
}
