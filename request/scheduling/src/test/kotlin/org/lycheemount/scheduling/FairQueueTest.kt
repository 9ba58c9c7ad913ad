package org.lycheemount.scheduling

import org.junit.jupiter.api.Nested
import org.lycheemount.common.TeamId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

private const val MAX_LEAD_MS = 500.0

class FairQueueTest {
    @Nested
    inner class `compared with a reference implementation` {
        @Test
        fun `starts the same requests in the same order over random submissions, starts and cancellations`() {
            for (seed in 1L..20L) {
                val random = Random(seed)
                val queue = FairQueue { MAX_LEAD_MS }
                val reference = ReferenceFairQueue(MAX_LEAD_MS)
                val present = ArrayList<QueuedRequest>()
                repeat(400) { step ->
                    when (random.nextInt(5)) {
                        0, 1, 2 ->
                            queued(random, step.toLong()).let {
                                present += it
                                queue.add(it)
                                reference.add(it)
                            }
                        3 -> {
                            val expected = reference.select()
                            assertEquals(expected?.sequence, queue.select { true }?.sequence, "seed $seed step $step")
                            expected?.let {
                                present -= it
                                queue.start(it)
                                reference.start(it)
                            }
                        }
                        else ->
                            present.randomOrNull(random)?.let {
                                present -= it
                                queue.remove(it)
                                reference.remove(it)
                            }
                    }
                    assertEquals(present.size, queue.size)
                }
            }
        }

        private fun queued(
            random: Random,
            sequence: Long,
        ) = queued(sequence, "team-${random.nextInt(4)}", arrivedAtMs = random.nextLong(100_000), serviceMs = 50.0 + random.nextInt(400))
    }

    @Nested
    inner class `requests whose expected service time is 0 ms` {
        private val queue = FairQueue { MAX_LEAD_MS }

        @Test
        fun `all start and leave the queue to other teams, guarding against a burst that ends service for them`() {
            val burst = List(30) { queued(sequence = it.toLong(), "team-a", serviceMs = 0.0) }
            burst.forEach(queue::add)

            val started = burst.map { checkNotNull(queue.select { true }).also(queue::start) }
            val others = List(2) { queued(sequence = 100L + it, "team-${'b' + it}", arrivedAtMs = 10L * it, serviceMs = 20.0) }
            others.forEach(queue::add)

            assertEquals(burst, started)
            assertEquals(others, others.map { checkNotNull(queue.select { true }).also(queue::start) })
            assertEquals(0, queue.size)
        }

        @Test
        fun `do not change the work of the others as they leave`() {
            val withoutWork = List(3) { queued(sequence = it.toLong(), "team-a", serviceMs = 0.0) }
            val others = List(3) { queued(sequence = 10L + it, "team-a", serviceMs = 20.0 + it) }
            (withoutWork + others).forEach(queue::add)

            val workMs = (others + withoutWork).map { queue.remove(it).run { queue.workAheadMs(TeamId("team-a"), dueAtMs = 10_000) } }

            assertEquals(listOf(43.0, 22.0, 0.0, 0.0, 0.0, 0.0), workMs)
            assertEquals(0, queue.size)
        }
    }

    private fun queued(
        sequence: Long,
        team: String,
        arrivedAtMs: Long = 0,
        serviceMs: Double,
    ): QueuedRequest {
        val item = item("r$sequence", team, arrivedAtMs = arrivedAtMs)
        val deadlines = StartDeadlines(item, urgentClass, ServiceEstimate(0.0, 0.0), 1.0)
        return QueuedRequest(item, urgentClass, sequence, 0, serviceMs, deadlines, 0.0)
    }
}

/** Reference implementation that keeps all requests in one list and scans it for each selection. */
private class ReferenceFairQueue(
    private val maxLeadMs: Double,
) {
    private val waiting = ArrayList<QueuedRequest>()
    private val served = HashMap<TeamId, Double>()
    private var virtualTimeMs = 0.0

    fun add(request: QueuedRequest) {
        val team = request.item.teamId
        if (waiting.none { it.item.teamId == team }) served[team] = maxOf(served[team] ?: virtualTimeMs, virtualTimeMs)
        waiting += request
    }

    fun remove(request: QueuedRequest) {
        waiting -= request
    }

    fun start(request: QueuedRequest) {
        waiting -= request
        served.merge(request.item.teamId, request.serviceMs, Double::plus)
    }

    fun select(): QueuedRequest? {
        if (waiting.isEmpty()) return null
        virtualTimeMs = maxOf(virtualTimeMs, waiting.minOf { served.getValue(it.item.teamId) })
        return waiting
            .filter { served.getValue(it.item.teamId) <= virtualTimeMs + maxLeadMs }
            .minWith(compareBy({ it.dueAtMs }, { it.sequence }))
    }
}
