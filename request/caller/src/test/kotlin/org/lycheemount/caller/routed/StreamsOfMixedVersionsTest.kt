package org.lycheemount.caller.routed

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.origins.StreamOrigin
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class StreamsOfMixedVersionsTest : RoutedFixture() {
    private val servers = (0 until SERVERS).map { RawServer("i-m$it") }

    @AfterEach
    fun closeServers() = servers.forEach { it.close() }

    private fun versionOf(index: Int) = if (index < SERVERS / 2) SoftwareVersion("v1") else SoftwareVersion("v2")

    /** Writes the rest of the stream that the last request asks for, with the server's version in each event, or breaks off inside an event. */
    private fun RawServer.Connection.streamOrBreak(
        server: RawServer,
        version: SoftwareVersion,
        random: Random,
    ) {
        val request = server.requests.last()
        val id = checkNotNull(Regex("X-Id: (.*)").find(request)).groupValues[1]
        val firstEvent = Regex("Resume-After: (\\d+)").find(request)?.let { it.groupValues[1].toInt() + 1 } ?: 1
        val brokenEvent = if (random.nextDouble() < BREAK_SHARE) random.nextInt(firstEvent, EVENTS + 1) else null
        head("200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "X-Id: $id")
        for (eventId in firstEvent..EVENTS) {
            if (eventId == brokenEvent) return chunk("id: $eventId\nda")
            chunk("id: $eventId\ndata: ${version.value}\n\n")
        }
        endStream()
    }

    /** Lists the servers in a random order, in which they are chosen, and lets each of them serve the next requests. */
    private fun shuffleServers(random: Random) {
        val order = servers.indices.shuffled(random)
        dispatcher.onBackendServers(order.map { servers[it].describe(versionOf(it)) })
        for (index in order) servers[index].enqueue { streamOrBreak(servers[index], versionOf(index), random) }
    }

    private class CallerStream(
        val events: List<Pair<Int, String>>,
        val isComplete: Boolean,
    )

    /** Requests a stream and resumes it after each failure, as callers do. */
    private fun readStream(
        name: String,
        random: Random,
    ): CallerStream {
        val events = ArrayList<Pair<Int, String>>()
        var firstAttempt: String? = null
        for (attempt in 1..CALLER_ATTEMPTS) {
            shuffleServers(random)
            val headers = firstAttempt?.let { arrayOf("Last-Event-Id: ${events.last().first}", "Resumes: $it") }.orEmpty()
            val response = exchange("/long/1", *headers, id = "$name-$attempt")
            for (match in EVENT.findAll(response)) events += match.groupValues[1].toInt() to match.groupValues[2]
            if (response.endsWith("0\r\n\r\n")) return CallerStream(events, isComplete = true)
            if (firstAttempt == null && events.isNotEmpty()) firstAttempt = "$name-$attempt"
        }
        return CallerStream(events, isComplete = false)
    }

    @Nested
    inner class `streams that break off again and again while two versions serve` {
        @Test
        fun `hold events of one version each and go on, guarding against events that are joined from two versions`() {
            origins.findOrigin = {
                val attempt = origins.askedAttempts.last()
                val version = origins.begunStreams.firstOrNull { it.first == attempt }?.second
                if (version == null) StreamOrigin.Unknown("not recorded") else StreamOrigin.Known(SoftwareVersion(version))
            }
            for (seed in 1..SEEDS) {
                val random = Random(seed)

                val streams = (1..STREAMS).map { readStream("$seed-$it", random) }

                for (stream in streams) {
                    assertEquals(1, stream.events.distinctBy { it.second }.size, "seed $seed: ${stream.events}")
                    assertEquals((1..stream.events.size).toList(), stream.events.map { it.first }, "seed $seed")
                    assertTrue(stream.isComplete, "seed $seed: ${stream.events}")
                }
                assertEquals(2, streams.map { it.events.first().second }.toSet().size, "seed $seed")
            }
        }
    }

    private companion object {
        private const val SERVERS = 6
        private const val SEEDS = 4
        private const val STREAMS = 25
        private const val EVENTS = 8
        private const val BREAK_SHARE = 0.5
        private const val CALLER_ATTEMPTS = 12
        private val EVENT = Regex("id: (\\d+)\ndata: (\\S+)\n\n")
    }
}
