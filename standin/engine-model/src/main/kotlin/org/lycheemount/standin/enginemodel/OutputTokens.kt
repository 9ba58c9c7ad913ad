package org.lycheemount.standin.enginemodel

/**
 * Completion that the simulated engine generates for a prompt.
 *
 * Each token depends only on the prompt and the token index, so that tests can verify a resumed stream.
 */
object OutputTokens {
    private const val MIN_NATURAL_TOKENS = 16
    private const val NATURAL_TOKENS_RANGE = 112
    private const val VOCABULARY_SIZE = 9_973
    private val LENGTH_DIRECTIVE = Regex("""\[\[tokens=(\d{1,6})]]""")

    /** Returns the seed of the completion of [prompt]. */
    fun seedOf(prompt: String): Long = prompt.fold(1_125_899_906_842_597L) { hash, char -> 31 * hash + char.code }

    /** Returns the text of the token at [index] of the completion with [seed]. */
    fun token(
        seed: Long,
        index: Int,
    ): String = "w${Math.floorMod(mix(seed + index), VOCABULARY_SIZE)} "

    /** Returns the length of the whole completion in tokens: N if the prompt contains `[[tokens=N]]`, else derived from its hash. */
    fun naturalLength(prompt: String): Int =
        LENGTH_DIRECTIVE
            .find(prompt)
            ?.groupValues
            ?.get(1)
            ?.toInt()
            ?: (MIN_NATURAL_TOKENS + Math.floorMod(mix(seedOf(prompt)), NATURAL_TOKENS_RANGE))

    /** Returns the tokens [from] (inclusive) to [until] (exclusive) of the completion of [prompt]. */
    fun tokens(
        prompt: String,
        from: Int,
        until: Int,
    ): List<String> = seedOf(prompt).let { seed -> (from until until).map { token(seed, it) } }

    private fun mix(value: Long): Long {
        var mixed = value * -0x61c8864680b583ebL
        mixed = (mixed xor (mixed ushr 30)) * -0x40a7b892e31b1a47L
        mixed = (mixed xor (mixed ushr 27)) * -0x6b2fb644ecceee15L
        return mixed xor (mixed ushr 31)
    }
}
