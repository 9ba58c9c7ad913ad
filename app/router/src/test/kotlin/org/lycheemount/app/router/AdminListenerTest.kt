package org.lycheemount.app.router

import org.junit.jupiter.api.AfterEach
import org.lycheemount.testing.LISTENER_HOST
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Clients without a key on the listener of the administration API. */
class AdminListenerTest {
    private val fleet = RouterFleetFixture()
    private val address = InetSocketAddress(LISTENER_HOST, fleet.adminPorts.first())

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `connections without a request are closed for new ones, guarding against a process without descriptors`() {
        val sockets = List(MANY) { openConnection(address) }

        assertEquals(401, fetchStatus(address, "/admin/v1/status"))
        assertTrue(awaitOpenCount(sockets, MAX_OPEN) <= MAX_OPEN, "more than $MAX_OPEN of $MANY connections are open")
        sockets.forEach { it.close() }
    }

    private companion object {
        private const val MANY = 300
        private const val MAX_OPEN = 200
    }
}
