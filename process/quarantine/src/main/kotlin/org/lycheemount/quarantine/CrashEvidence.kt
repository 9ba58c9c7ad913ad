package org.lycheemount.quarantine

import org.lycheemount.common.VmId

/**
 * Segments that are held responsible for crashes. If there are several, each crash had all of them among its suspects, in one prompt, and
 * nothing tells which of them it was.
 *
 * @property crashCount number of crashes that they explain.
 * @property untilTableTimeMs table time until which no request with all of them is sent, in milliseconds. They are doubtful then.
 */
internal data class QuarantinedSegments(
    val segments: Set<SegmentId>,
    val crashCount: Int,
    val untilTableTimeMs: Long,
)

/**
 * Finds the prompt segments that crash backend servers. Does no I/O; not thread-safe.
 *
 * Load pattern: requests with a segment on which servers crash arrive at all routers, no two alike, among sound requests that have their
 * other segments. Each crash leaves several suspects, because a server handles many requests at once. Only the segment that crashes
 * servers is among the suspects of every one of these crashes, and no server ever gets far with a response to it.
 *
 * A segment is therefore cleared of all earlier crashes when a server has responded to it, completely or for a while. Of the others,
 * those that explain most crashes are held responsible first, and crashes that are explained count against no other segment. Segments
 * that have worked come last: they are among the suspects of all crashes, whatever other segments cause these. Among segments that
 * explain the same number of crashes, the one that fewest requests share is responsible. Crashes that have nothing in
 * common blame no segment. Servers that crash together have a cause in common that is no prompt, so they count once against segments
 * that many requests share. If all crashes come together and a first segment that has never worked is among the suspects of each, it is
 * doubtful: requests with it are sent one at a time, which either clears it or adds a moment to those at which servers have crashed.
 *
 * Segments of one prompt that explain the same crashes are quarantined together: a request with only some of them is sent, and its
 * outcome tells them apart.
 */
internal class CrashEvidence {
    private val reports = LinkedHashMap<String, CrashReport>()
    private val clearedAtTableTimeMs = HashMap<SegmentId, Long>()

    /** Adds or replaces the report under [key]. */
    fun add(
        key: String,
        report: CrashReport,
    ) {
        reports[key] = report
        while (reports.size > MAX_REPORTS) reports.remove(reports.keys.first())
    }

    /** Removes the report under [key]. */
    fun remove(key: String) {
        reports.remove(key)
    }

    /** A server responded at [atTableTimeMs] to a request with [segment]. */
    fun clear(
        segment: SegmentId,
        atTableTimeMs: Long,
    ) {
        clearedAtTableTimeMs.merge(segment, atTableTimeMs, ::maxOf)
    }

    /** Removes what is older than [tableTimeMs] and concerns none of the [responsible] segments. Returns the keys of removed reports. */
    fun removeBefore(
        tableTimeMs: Long,
        responsible: Set<SegmentId>,
    ): List<String> {
        val old = reports.filterValues { it.atTableTimeMs < tableTimeMs }
        val expired = old.filterValues { report -> report.suspects.none { prompt -> prompt.all.any(responsible::contains) } }.keys
        reports.keys.removeAll(expired)
        val earliestCrashMs = reports.values.minOfOrNull { it.atTableTimeMs } ?: Long.MAX_VALUE
        clearedAtTableTimeMs.values.removeIf { it < earliestCrashMs }
        return expired.toList()
    }

    /**
     * First segments that have never worked and are suspected of many crashes, all at so few moments that these may have another reason.
     *
     * @param hasWorked whether servers have responded to a segment before.
     */
    fun doubtfulSegments(hasWorked: (SegmentId) -> Boolean): Set<SegmentId> =
        doubtfulAmong(openSuspicions().filterKeys { !hasWorked(it) }).keys

    private fun doubtfulAmong(newSegments: Map<SegmentId, Suspicion>): Map<SegmentId, Suspicion> {
        val crashTimes = crashTimes()
        return newSegments
            .filterValues { it.position == Position.FIRST && it.crashes.size >= MIN_CRASHES_OF_DOUBTFUL_SEGMENT }
            .filterValues { momentCount(it.crashes.map(crashTimes::getValue)) < MIN_MOMENTS_OF_FIRST_SEGMENT }
    }

    /** Segments that are suspected of at least one crash. */
    fun suspectedSegments(): Set<SegmentId> = openSuspicions().keys

    /**
     * Returns the segments that are held responsible for crashes, including those whose quarantine has ended and which are doubtful.
     *
     * @param hasWorked whether servers have responded to a segment before. It then takes more crashes to hold it responsible.
     */
    fun responsibleSegments(hasWorked: (SegmentId) -> Boolean): List<QuarantinedSegments> {
        val crashTimes = crashTimes()
        val suspicions = openSuspicions()
        val newSegments = suspicions.filterKeys { !hasWorked(it) }
        val unexplained = HashSet(crashTimes.keys)
        val responsible =
            explain(newSegments, crashTimes, unexplained) { segment, crashTimesMs ->
                if (newSegments.getValue(segment).position == Position.FIRST) {
                    momentCount(crashTimesMs) >= MIN_MOMENTS_OF_FIRST_SEGMENT
                } else {
                    crashTimesMs.size >= MIN_CRASHES
                }
            }
        doubtfulAmong(newSegments).values.forEach { unexplained -= it.crashes }
        return responsible +
            explain(suspicions - newSegments.keys, crashTimes, unexplained) { _, crashTimesMs ->
                momentCount(crashTimesMs) >= MIN_MOMENTS_OF_WORKING_SEGMENT
            }
    }

    /**
     * Returns those of the suspected segments that explain crashes which are [unexplained], and removes these.
     *
     * @param isExplanation whether crashes at these times, in milliseconds, are enough to hold a segment responsible.
     */
    private fun explain(
        suspicions: Map<SegmentId, Suspicion>,
        crashTimes: Map<VmId, Long>,
        unexplained: MutableSet<VmId>,
        isExplanation: (SegmentId, crashTimesMs: List<Long>) -> Boolean,
    ): List<QuarantinedSegments> {
        val responsible = ArrayList<QuarantinedSegments>()
        while (true) {
            val candidates =
                suspicions
                    .mapValues { (_, suspicion) -> suspicion.crashes.intersect(unexplained) }
                    .filter { (segment, crashes) -> isExplanation(segment, crashes.map(crashTimes::getValue)) }
            val mostCrashes = candidates.values.maxOfOrNull { it.size } ?: return responsible
            val mostSuspected = candidates.filterValues { it.size == mostCrashes }
            val position = mostSuspected.keys.maxOf { suspicions.getValue(it).position }
            val blamed = mostSuspected.filterKeys { suspicions.getValue(it).position == position }
            for (segments in indistinguishable(blamed, unexplained)) {
                val crashTimesMs = blamed.getValue(segments.first()).map(crashTimes::getValue)
                val untilMs = crashTimesMs.max() + durationMs(crashTimesMs.size, momentCount(crashTimesMs))
                responsible += QuarantinedSegments(segments, mostCrashes, untilMs)
            }
            blamed.values.forEach(unexplained::removeAll)
        }
    }

    /**
     * Largest sets of the [blamed] segments that were suspected together, in one prompt, in each of the crashes that they explain. Each of
     * the [blamed] segments explains as many of the [crashes].
     */
    private fun indistinguishable(
        blamed: Map<SegmentId, Set<VmId>>,
        crashes: Set<VmId>,
    ): List<Set<SegmentId>> {
        val suspectedSets =
            reports.values
                .filter { it.serverRun in crashes }
                .flatMap { report -> report.suspects.map { prompt -> prompt.all.intersect(blamed.keys) to report.serverRun } }
                .filter { (segments, _) -> segments.isNotEmpty() }
        val sets = (suspectedSets.map { it.first } + blamed.keys.map(::setOf)).distinct()
        val complete =
            sets.filter { set ->
                val explained = suspectedSets.filter { (segments, _) -> segments.containsAll(set) }.mapTo(HashSet()) { it.second }
                explained.size == blamed.getValue(set.first()).size
            }
        return complete.filter { set -> complete.none { it != set && it.containsAll(set) } }
    }

    /** The earliest report of a crash is the closest to it. */
    private fun crashTimes(): Map<VmId, Long> =
        reports.values.groupBy { it.serverRun }.mapValues { (_, of) ->
            of.minOf { it.atTableTimeMs }
        }

    private fun openSuspicions(): Map<SegmentId, Suspicion> {
        val suspicions = HashMap<SegmentId, Suspicion>()
        val crashTimes = crashTimes()
        for (report in reports.values) {
            for (prompt in report.suspects) addSuspicions(suspicions, report.serverRun, crashTimes.getValue(report.serverRun), prompt)
        }
        return suspicions
    }

    private fun addSuspicions(
        suspicions: HashMap<SegmentId, Suspicion>,
        serverRun: VmId,
        crashedAtMs: Long,
        prompt: PromptSegments,
    ) {
        for ((index, segment) in prompt.all.withIndex()) {
            if ((clearedAtTableTimeMs[segment] ?: Long.MIN_VALUE) >= crashedAtMs) continue
            val position = positionOf(index, prompt)
            val suspicion = suspicions.getOrPut(segment) { Suspicion(position) }
            suspicion.position = minOf(suspicion.position, position)
            suspicion.crashes += serverRun
        }
    }

    private fun positionOf(
        index: Int,
        prompt: PromptSegments,
    ): Position =
        when (index) {
            prompt.shared.size -> Position.OWN
            0 -> Position.FIRST
            else -> Position.SHARED
        }

    /** Number of moments at which servers crashed, alone or together. */
    private fun momentCount(crashTimesMs: List<Long>): Int {
        var count = 0
        var momentEndsMs = Long.MIN_VALUE
        for (crashTimeMs in crashTimesMs.sorted()) {
            if (crashTimeMs < momentEndsMs) continue
            count++
            momentEndsMs = crashTimeMs + MOMENT_MS
        }
        return count
    }

    /** Place of a segment in its prompts, in order of the number of requests that it is common to. */
    private enum class Position { FIRST, SHARED, OWN }

    private class Suspicion(
        var position: Position,
    ) {
        val crashes = HashSet<VmId>()
    }

    private companion object {
        private const val MAX_REPORTS = 1_000

        /** A single crash has many possible causes. */
        private const val MIN_CRASHES = 2

        /** Segments that are common to many requests are among the suspects of most crashes, also of those that have another reason. */
        private const val MIN_MOMENTS_OF_WORKING_SEGMENT = 4
        private const val MIN_MOMENTS_OF_FIRST_SEGMENT = 3

        /** As many servers rarely crash together, each with a request whose first segment has never worked. */
        private const val MIN_CRASHES_OF_DOUBTFUL_SEGMENT = 4

        /** Servers that lose their power end within this time, and routers notice it. */
        private const val MOMENT_MS = 1_000L

        private const val SECOND_MS = 1_000L
        private val DURATIONS_MS = listOf(4 * SECOND_MS, 60 * SECOND_MS, 600 * SECOND_MS)
        private const val LONGEST_DURATION_MS = 86_400 * SECOND_MS

        /**
         * The first duration is short, since two crashes may have a segment in common by chance, and so may any number of servers that
         * crash together for another reason.
         */
        private fun durationMs(
            crashCount: Int,
            momentCount: Int,
        ): Long = DURATIONS_MS.getOrElse(minOf(crashCount - MIN_CRASHES, momentCount - 1)) { LONGEST_DURATION_MS }
    }
}
