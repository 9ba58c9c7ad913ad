package org.lycheemount.standin.enginemodel

/** A job in the queue or in the batch. */
internal class Sequence(
    val job: EngineJob,
    val arrival: Long,
) {
    val totalTokens = minOf(job.naturalTokens, job.maxOutputTokens)
    var nextToken = job.startAtToken
    var remainingPrefillTokens = 0
    var cachedTokens = 0
    var decodesInStep = false

    /** Takes a slot: prompt tokens that are not cached, and tokens made elsewhere, are to be prefilled. */
    fun start(cachedBlocks: Int) {
        val blocks = job.prefixHashes.size
        cachedTokens = if (blocks == 0) 0 else (job.promptTokens.toLong() * cachedBlocks / blocks).toInt()
        remainingPrefillTokens = job.promptTokens - cachedTokens + job.startAtToken
    }

    companion object {
        val SERVING_ORDER: Comparator<Sequence> = compareBy({ it.job.priority }, { it.arrival })
    }
}
