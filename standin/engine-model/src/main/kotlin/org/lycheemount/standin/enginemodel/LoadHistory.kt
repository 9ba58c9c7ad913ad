package org.lycheemount.standin.enginemodel

/** Load samples taken at fixed intervals and published with a delay. */
internal class LoadHistory(
    private val parameters: EngineParameters,
    startUs: Long,
) {
    class Sample(
        val takenAtUs: Long,
        val running: Int,
        val queued: Int,
    )

    private val samples = ArrayDeque(listOf(Sample(startUs, 0, 0)))

    var nextSampleUs: Long = startUs + parameters.loadReportIntervalUs
        private set

    fun record(
        running: Int,
        queued: Int,
    ) {
        samples.addLast(Sample(nextSampleUs, running, queued))
        nextSampleUs += parameters.loadReportIntervalUs
        val newest = samples.last().takenAtUs
        while (samples.size > 1 && samples[1].takenAtUs + parameters.loadReportDelayUs <= newest) samples.removeFirst()
    }

    /** Records the samples due until [nowUs] with an unchanged load; after a long idle time, the older ones are skipped. */
    fun recordUntil(
        nowUs: Long,
        running: Int,
        queued: Int,
    ) {
        val missed = (nowUs - nextSampleUs) / parameters.loadReportIntervalUs
        if (missed > MAX_IDLE_SAMPLES) nextSampleUs += (missed - MAX_IDLE_SAMPLES) * parameters.loadReportIntervalUs
        while (nextSampleUs <= nowUs) record(running, queued)
    }

    fun published(nowUs: Long): Sample = samples.lastOrNull { it.takenAtUs + parameters.loadReportDelayUs <= nowUs } ?: samples.first()

    private companion object {
        private const val MAX_IDLE_SAMPLES = 16
    }
}
