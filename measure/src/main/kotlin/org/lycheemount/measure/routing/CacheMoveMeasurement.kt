package org.lycheemount.measure.routing

import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import org.lycheemount.measure.Measurement
import org.lycheemount.standin.enginemodel.EngineEvent
import org.lycheemount.standin.enginemodel.EngineJob
import org.lycheemount.standin.enginemodel.EngineModel
import org.lycheemount.standin.enginemodel.EngineParameters
import java.util.Locale

private const val BLOCK_TOKENS = 32
private const val BUSY_SEQUENCES = 24
private const val BUSY_OUTPUT_TOKENS = 100_000
private const val WARM_UP_US = 2_000_000L
private const val US_PER_MS = 1_000.0

/** Compares the time to first token after a prefill with that after an import of the KV cache, on the engine model. */
internal class CacheMoveMeasurement : Measurement {
    override val name = "routing-cache-move"
    private val model = ModelId("m")
    private val parameters = EngineParameters()

    override fun run(): List<Pair<String, Any>> =
        listOf(0, BUSY_SEQUENCES).flatMap { busySequences ->
            listOf(2, 4, 8, 16, 32, 64, 128, 256).flatMap { blocks ->
                val suffix = "${blocks * BLOCK_TOKENS}_tokens_running_$busySequences"
                listOf(
                    "prefill_first_token_ms_$suffix" to firstTokenMs(blocks, busySequences, import = false),
                    "import_first_token_ms_$suffix" to firstTokenMs(blocks, busySequences, import = true),
                )
            }
        }

    private fun firstTokenMs(
        blocks: Int,
        busySequences: Int,
        import: Boolean,
    ): String {
        val engine = EngineModel(parameters, mapOf(model to "1"), reportEachToken = false)
        repeat(busySequences) { engine.submit(createJob("busy-$it", List(1) { 0L }, BUSY_OUTPUT_TOKENS), 0) }
        engine.advance(WARM_UP_US)
        val hashes = List(blocks) { it + 1L }
        val submitUs = if (import) engine.importBlocks(hashes, WARM_UP_US) else WARM_UP_US
        engine.advance(submitUs)
        engine.submit(createJob("measured", hashes, outputTokens = 2), submitUs)
        while (true) {
            val nextUs = engine.nextEventUs() ?: error("the engine has no further events before the first token")
            val token = engine.advance(nextUs).firstOrNull { it is EngineEvent.Token && it.requestId.value == "measured" } ?: continue
            return String.format(Locale.ROOT, "%.1f", (token.atUs - WARM_UP_US) / US_PER_MS)
        }
    }

    private fun createJob(
        id: String,
        hashes: List<Long>,
        outputTokens: Int,
    ) = EngineJob(RequestId(id), model, hashes.size * BLOCK_TOKENS, hashes, outputTokens, outputTokens)
}
