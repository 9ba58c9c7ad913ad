package org.lycheemount.app.router.gateway

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.ConnectException
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertFailsWith

class GatewayStartTest {
    private val fixture = GatewayFixture()

    @AfterEach
    fun closeFixture() = fixture.close()

    @Nested
    inner class `a gateway that is stopped while it starts` {
        @Test
        fun `drains once it has started, guarding against requests that are cut by a signal during the start`() {
            // The first start of a process loads its classes, for which a stop does not wait as long as a busy machine may need.
            GatewayProcess(fixture.settings(drainGraceS = 1.0, index = 2)).run {
                runBlocking {
                    start()
                    stop()
                }
            }
            val settings = fixture.settings(drainGraceS = 1.0)
            val process = GatewayProcess(settings)

            runBlocking {
                val stopped = async(Dispatchers.IO) { process.stop() }
                process.start()
                stopped.await()
            }

            assertFailsWith<ConnectException> { Socket().connect(socketAddressOf(settings.callersAddress)) }
        }
    }
}
