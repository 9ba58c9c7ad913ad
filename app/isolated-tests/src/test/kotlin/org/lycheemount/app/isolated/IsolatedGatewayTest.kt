package org.lycheemount.app.isolated

import org.junit.jupiter.api.Timeout
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals

/** Base of the tests that start a gateway. The timeout only guards against a hang of the test itself. */
@Timeout(value = 10, unit = TimeUnit.MINUTES, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
abstract class IsolatedGatewayTest {
    /**
     * Starts a gateway, has [startTraffic] start callers, and asserts that the gateway is alive, is within its memory and
     * [maxOpenDescriptors], serves an ordinary request afterwards, and has closed the connections of those callers if [mustCloseCrowd].
     */
    protected fun assertWithstands(
        form: String,
        fixture: IsolatedFixture = IsolatedFixture(),
        maxOpenDescriptors: Int = MAX_OPEN_DESCRIPTORS,
        mustCloseCrowd: Boolean = false,
        startTraffic: CallerCrowd.() -> Unit,
    ) = fixture.use {
        it.awaitReady()
        it.crowd.startTraffic()
        assertEquals(emptyList(), it.faultsAfterTraffic(form, maxOpenDescriptors, mustCloseCrowd))
    }

    protected companion object {
        // The 200 that a VM reserves for files, and one to the caller and one to a server for each of at most 40 callers, twice.
        private const val MAX_OPEN_DESCRIPTORS = 360
    }
}
