package org.lycheemount.measure.capacity

import kotlinx.serialization.json.Json
import org.lycheemount.backend.EngineChunk
import org.lycheemount.backend.GenerateEvent
import org.lycheemount.common.RequestId
import org.lycheemount.config.hashKey
import org.lycheemount.stream.TokenAssembler

private val tokenCounts = listOf(1, 4, 16)
private val assemblerCounts = listOf(10_000, 20_000, 40_000)
private const val CHUNKS = 50_000
private const val TEAMS = 2_000
private const val KEY_LOOKUPS = 20_000

internal fun streamSlopes(): List<Pair<String, Any>> =
    measureSlope("chunk_by_tokens", "cpu_ns", tokenCounts) { tokens -> chunkNanos(tokens) } +
        measureSlope("answer_assembler", "bytes", assemblerCounts) { streams ->
            retainedBytes { List(streams) { TokenAssembler(RequestId("request-$it")) } }
        } +
        listOf("capacity_key_lookup_cpu_ns" to "%.0f".format(java.util.Locale.ROOT, keyLookupNanos()))

/** Returns the CPU time to decode an engine's line, order its tokens and encode the same content for the caller, without sockets. */
private fun chunkNanos(tokens: Int): Double {
    val requestId = RequestId("request-1")
    val words = List(tokens) { " word" }
    val assembler = TokenAssembler(requestId)
    return cpuNanosPerOperation(CHUNKS / tokens) { number ->
        val line = Json.encodeToString(EngineChunk.serializer(), EngineChunk(requestId, number * tokens, words))
        val chunk = Json.decodeFromString(EngineChunk.serializer(), line)
        assembler.offer(GenerateEvent.Tokens(chunk.requestId, chunk.sequence, chunk.tokens))
    }
}

/** Returns the CPU time to authenticate: SHA-256 of the key in hexadecimal form and a lookup among the hashes of all teams. */
private fun keyLookupNanos(): Double {
    val teams = (0 until TEAMS * 2).associateBy { hashKey("key-of-team-$it") }
    return cpuNanosPerOperation(KEY_LOOKUPS) { number -> check(hashKey("key-of-team-${number % TEAMS}") in teams) }
}
