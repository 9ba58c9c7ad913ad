package org.lycheemount.caller

/**
 * A prompt in the form sent to engines.
 *
 * @property promptTokens number of tokens billed: UTF-8 bytes divided by four, rounded up.
 * @property prefixHashes chained hashes of the complete blocks of [BLOCK_BYTES] bytes, from the start of the prompt.
 */
internal class EncodedPrompt(
    val text: String,
    val promptTokens: Int,
    val prefixHashes: List<Long>,
)

internal fun encodePrompt(request: ChatRequest): EncodedPrompt {
    val text = request.messages.joinToString("\n") { "${it.role}: ${it.text().orEmpty()}" }
    val bytes = text.encodeToByteArray()
    return EncodedPrompt(text, (bytes.size + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN, prefixHashes(request.model, bytes))
}

private fun prefixHashes(
    model: String,
    bytes: ByteArray,
): List<Long> {
    var hash = FNV_OFFSET
    for (character in model) hash = (hash xor character.code.toLong()) * FNV_PRIME
    return List(bytes.size / BLOCK_BYTES) { block ->
        for (index in block * BLOCK_BYTES until (block + 1) * BLOCK_BYTES) hash = (hash xor bytes[index].toLong()) * FNV_PRIME
        hash
    }
}

// The router has no tokenizer; English text averages about four bytes per token.
private const val BYTES_PER_TOKEN = 4

// 64 tokens per block: a 4,000-token prompt yields about 60 hashes, which keeps engine requests small.
private const val BLOCK_BYTES = 256
private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
