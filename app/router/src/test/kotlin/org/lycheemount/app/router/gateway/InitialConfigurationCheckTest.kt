package org.lycheemount.app.router.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.RouterId
import org.lycheemount.config.PublishedConfiguration
import org.lycheemount.testing.FakeEventLog
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

@OptIn(ExperimentalCoroutinesApi::class)
class InitialConfigurationCheckTest {
    private var configuration = PublishedConfiguration(FakeEventLog())

    /** Starts a check for a router that has read version [STORE_VERSION] and whose peers answer as [ask] says. */
    private fun TestScope.startCheck(
        neighbours: Set<RouterId>?,
        ask: suspend (RouterId) -> PeerConfiguration,
    ): InitialConfigurationCheck {
        configuration = PublishedConfiguration(FakeEventLog())
        lateinit var check: InitialConfigurationCheck
        val loader = ConfigurationLoader(configuration, virtualClock(), FakeEventLog()) { check.onConfigurationChanged() }
        check =
            InitialConfigurationCheck(configuration, virtualClock(), FakeEventLog(), { peer, _ -> ask(peer) }) { value, _ ->
                loader.load(value)
            }
        backgroundScope.launch { check.run() }
        loader.load(document(STORE_VERSION))
        neighbours?.let(check::onNeighbours)
        runCurrent()
        return check
    }

    private fun document(version: Long) = """{"version":$version,"services":[],"routes":[]}""".encodeToByteArray()

    private suspend fun TestScope.doneAtMs(check: InitialConfigurationCheck): Long {
        runCurrent()
        while (!check.isDone) {
            delay(1)
            runCurrent()
        }
        return currentTime
    }

    @Nested
    inner class `a router that starts from an older copy` {
        @Test
        fun `has the newer version of a peer when it may serve, guarding against requests that run by the older one`() =
            runTest {
                val check =
                    startCheck(setOf(PEER)) {
                        delay(ANSWER_MS)
                        PeerConfiguration.Newer(document(NEWER_VERSION))
                    }
                assertFalse(check.isDone)

                assertEquals(ANSWER_MS, doneAtMs(check))
                assertEquals(NEWER_VERSION, configuration.current().sequence)
            }

        @Test
        fun `applies the answer of a second peer that is newer than that of the first`() =
            runTest {
                val check =
                    startCheck(setOf(PEER, SECOND_PEER)) { peer ->
                        if (peer == SECOND_PEER) delay(ANSWER_MS)
                        if (peer == PEER) PeerConfiguration.NotNewer else PeerConfiguration.Newer(document(NEWER_VERSION))
                    }
                assertTrue(check.isDone)

                delay(ANSWER_MS + 1)
                assertEquals(NEWER_VERSION, configuration.current().sequence)
            }

        @Test
        fun `waits for the second peer if the first has no configuration`() =
            runTest {
                val check =
                    startCheck(setOf(PEER, SECOND_PEER)) { peer ->
                        if (peer == SECOND_PEER) delay(ANSWER_MS)
                        if (peer == PEER) PeerConfiguration.Unknown else PeerConfiguration.Newer(document(NEWER_VERSION))
                    }
                assertFalse(check.isDone)

                assertEquals(ANSWER_MS, doneAtMs(check))
                assertEquals(NEWER_VERSION, configuration.current().sequence)
            }
    }

    @Nested
    inner class `a router without peers in reach` {
        @Test
        fun `does not wait, guarding against slower starts`() =
            runTest {
                assertTrue(startCheck(emptySet()) { error("no peer to ask") }.isDone)
                assertTrue(startCheck(setOf(PEER, SECOND_PEER)) { PeerConfiguration.Unknown }.isDone)
            }

        @Test
        fun `waits for silent peers and for the list of routers no longer than a second`() =
            runTest {
                assertEquals(MAX_WAIT_MS, doneAtMs(startCheck(setOf(PEER)) { awaitCancellation() }))
                assertEquals(2 * MAX_WAIT_MS, doneAtMs(startCheck(neighbours = null) { PeerConfiguration.Unknown }))
            }
    }

    private companion object {
        private const val STORE_VERSION = 3L
        private const val NEWER_VERSION = 8L
        private const val ANSWER_MS = 40L
        private const val MAX_WAIT_MS = 1_000L
        private val PEER = RouterId("peer")
        private val SECOND_PEER = RouterId("peer2")
    }
}
