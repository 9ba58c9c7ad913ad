package org.lycheemount.config

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Timeout
import org.lycheemount.common.ServiceId
import org.lycheemount.testing.FakeEventLog
import java.util.concurrent.TimeUnit
import kotlin.random.Random
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

        @Test
        fun `matches as if each part of its path were looked up, whatever the length of the path`() {
            val random = Random(1)
            val prefixes = listOf("/", "/x/", "/x/y/", "/xy/x/", "/y/y/y/y/")
            val routes = RouteTable(prefixes.drop(1).map { route(it, it) })
            repeat(2_000) {
                val path = "/" + String(CharArray(random.nextInt(14)) { "xy/"[random.nextInt(3)] })

                val expected = prefixes.drop(1).filter { path.startsWith(it) }.maxByOrNull { it.length }
                assertEquals(expected, routes.find("a.example", path)?.routeId?.value, path)
            }
        }

        // Looking up each part copies 500 GB. The timeout only guards against that, it is no bound of time.
        @Test
        @Timeout(value = 2, unit = TimeUnit.MINUTES, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
        fun `with many slashes is matched in proportion to its length, guarding against work that grows with the square of it`() {
            assertEquals("long", table.find("a.example", "/x/y/" + "/".repeat(1_000_000))?.routeId?.value)
            assertNull(table.find("b.example", "/".repeat(1_000_000)))
        }
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
