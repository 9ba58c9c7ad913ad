package org.lycheemount.measure.routing

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.RequestId
import org.lycheemount.scheduling.FailureKind
import org.lycheemount.standin.enginemodel.EngineAdmission
import org.lycheemount.standin.enginemodel.EngineEvent
import org.lycheemount.standin.enginemodel.EngineJob
import org.lycheemount.standin.enginemodel.EngineModel
import org.lycheemount.standin.enginemodel.EngineParameters
import java.util.PriorityQueue

internal const val WORKER_SLOTS = 2
private const val WORKER_QUEUE_LIMIT = 256

/** Simulated backend server: an engine model, or a worker of a plain service. */
internal sealed class Worker(
    val server: BackendServer,
) {
    /** False once the VM is gone or disconnected. */
    var isReachable = true
    var isLeaving = false
    abstract val slots: Int
    abstract val heldSlots: Int
    abstract val queuedRequests: Int

    abstract fun nextEventUs(): Long?

    abstract fun advance(nowUs: Long): List<EngineEvent>

    /** Returns why the worker refuses the attempt, or null. */
    abstract fun submit(
        attempt: Attempt,
        nowUs: Long,
    ): FailureKind?

    /** Cancels the attempt and returns the output tokens generated so far. */
    abstract fun cancel(
        attemptId: RequestId,
        nowUs: Long,
    ): Int

    /** Returns the number of slots that a new request could use at once. */
    fun freeSlots(): Int = if (isReachable && !isLeaving) maxOf(0, slots - heldSlots - queuedRequests) else 0
}

internal class EngineWorker(
    server: BackendServer,
    val engine: EngineModel,
    private val parameters: EngineParameters,
) : Worker(server) {
    override val slots: Int get() = parameters.slots
    override val heldSlots: Int get() = engine.slotsHeld
    override val queuedRequests: Int get() = engine.queuedRequests

    override fun nextEventUs(): Long? = if (isReachable) engine.nextEventUs() else null

    override fun advance(nowUs: Long): List<EngineEvent> = engine.advance(nowUs)

    override fun submit(
        attempt: Attempt,
        nowUs: Long,
    ): FailureKind? {
        val request = attempt.request.trace
        val job =
            EngineJob(
                attempt.id,
                (request.target as BackendTarget.Model).modelId,
                request.promptTokens,
                request.prefixHashes,
                request.outputTokens,
                maxOutputTokens = request.outputTokens,
                priority = attempt.priority,
                startAtToken = attempt.request.generatedTokens,
            )
        engine.leaving = isLeaving
        return when (engine.submit(job, nowUs)) {
            EngineAdmission.ACCEPTED -> null
            EngineAdmission.QUEUE_FULL -> FailureKind.REFUSED_BUSY
            EngineAdmission.LEAVING -> FailureKind.REFUSED_LEAVING
            EngineAdmission.MODEL_NOT_LOADED, EngineAdmission.DUPLICATE -> error("the simulation sent an invalid job")
        }
    }

    override fun cancel(
        attemptId: RequestId,
        nowUs: Long,
    ): Int = engine.cancel(attemptId, nowUs).generatedTokens
}

/** Worker of a plain service: [WORKER_SLOTS] slots and a FIFO queue. */
internal class ServiceWorker(
    server: BackendServer,
) : Worker(server) {
    private class RunningCall(
        val attempt: Attempt,
        val endsAtUs: Long,
    )

    private val running = PriorityQueue<RunningCall>(compareBy({ it.endsAtUs }, { it.attempt.id.value }))
    private val queue = ArrayDeque<Attempt>()

    override val slots: Int get() = WORKER_SLOTS
    override val heldSlots: Int get() = running.size
    override val queuedRequests: Int get() = queue.size

    override fun nextEventUs(): Long? = if (isReachable) running.peek()?.endsAtUs else null

    override fun advance(nowUs: Long): List<EngineEvent> {
        val events = ArrayList<EngineEvent>()
        while (running.isNotEmpty() && running.peek().endsAtUs <= nowUs) {
            val endedCall = running.remove()
            events += EngineEvent.Finished(endedCall.attempt.id, endedCall.endsAtUs, EngineModel.REASON_STOP, 0, 0)
            queue.removeFirstOrNull()?.let { start(it, endedCall.endsAtUs) }
        }
        return events
    }

    override fun submit(
        attempt: Attempt,
        nowUs: Long,
    ): FailureKind? {
        if (isLeaving) return FailureKind.REFUSED_LEAVING
        if (queue.size >= WORKER_QUEUE_LIMIT) return FailureKind.REFUSED_BUSY
        if (running.size < WORKER_SLOTS) start(attempt, nowUs) else queue.addLast(attempt)
        return null
    }

    override fun cancel(
        attemptId: RequestId,
        nowUs: Long,
    ): Int {
        // A running call of a plain service cannot be stopped.
        queue.removeAll { it.id == attemptId }
        return 0
    }

    private fun start(
        attempt: Attempt,
        nowUs: Long,
    ) {
        running += RunningCall(attempt, nowUs + attempt.request.trace.serviceTimeUs)
    }
}
