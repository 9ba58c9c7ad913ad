package org.lycheemount.config

import org.junit.jupiter.api.Nested
import org.lycheemount.common.ServiceId
import org.lycheemount.testing.FakeEventLog
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class RouteTableTest {
    private fun route(
        id: String,
        prefix: String,
        host: String = "a.example",
    ) = Route(RouteId(id), host, prefix, RouteKind.IDEMPOTENT, listOf(RouteDestination(ServiceId("s"))), 1_000, 100)

    private val table = RouteTable(listOf(route("r", "/"), route("long", "/x/y/"), route("short", "/x/"), route("b", "/x/", "b.example")))

    @Nested
    inner class `a request` {
        @Test
        fun `matches the longest prefix of its path among the routes of its host`() {
            assertEquals("long", table.find("a.example", "/x/y/z")?.routeId?.value)
            assertEquals("short", table.find("a.example", "/x/yy/z")?.routeId?.value)
            assertEquals("b", table.find("b.example:8080", "/x/y/z")?.routeId?.value)
        }

        @Test
        fun `does not match a prefix without its trailing slash`() {
            assertEquals("r", table.find("a.example", "/x")?.routeId?.value)
            assertNull(table.find("b.example", "/x"))
        }

        @Test
        fun `for an unknown host has no route`() = assertNull(table.find("c.example", "/x/"))
    }

    @Nested
    inner class `a route with several destinations` {
        @Test
        fun `splits requests by weight`() {
            val split =
                route("r", "/").copy(destinations = listOf(RouteDestination(ServiceId("s"), 90), RouteDestination(ServiceId("t"), 10)))

            val picked = (0 until 100).map { split.pickDestination(it / 100.0).value }

            assertEquals(90, picked.count { it == "s" })
            assertEquals(10, picked.count { it == "t" })
        }
    }

    @Nested
    inner class `a published configuration` {
        @Test
        fun `never reverts to an older snapshot when responses arrive out of order`() {
            val configuration = PublishedConfiguration(FakeEventLog())

            assertTrue(configuration.accept(ConfigurationSnapshot(sequence = 7)))
            assertFalse(configuration.accept(ConfigurationSnapshot(sequence = 3)))
            assertFalse(configuration.accept(ConfigurationSnapshot(sequence = 7)))

            assertEquals(7, configuration.current().sequence)
        }
    }
}
