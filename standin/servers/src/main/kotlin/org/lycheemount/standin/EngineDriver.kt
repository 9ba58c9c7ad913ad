package org.lycheemount.standin

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.RequestId
import org.lycheemount.standin.enginemodel.EngineAdmission
import org.lycheemount.standin.enginemodel.EngineEvent
import org.lycheemount.standin.enginemodel.EngineJob
import org.lycheemount.standin.enginemodel.EngineModel

/** Runs an engine model in real time and dispatches its events to the response streams. */
internal class EngineDriver(
    private val model: EngineModel,
    private val scope: CoroutineScope,
) {
    private val streams = HashMap<RequestId, Channel<EngineEvent>>()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)

    fun start() {
        scope.launch {
            while (true) {
                val waitMs = synchronized(model) { step() }
                if (waitMs == null) wakeUp.receive() else withTimeoutOrNull(waitMs) { wakeUp.receive() }
            }
        }
    }

    /** Calls [action] under the model's lock with the model and the time in microseconds. The model must not escape [action]. */
    fun <T> withModel(action: (EngineModel, Long) -> T): T {
        val result = synchronized(model) { action(model, nowUs()) }
        wakeUp.trySend(Unit)
        return result
    }

    /** Submits [job] and sends its events to [events]. The job keeps running when nobody reads them. */
    fun submit(
        job: EngineJob,
        events: Channel<EngineEvent>,
    ): EngineAdmission =
        withModel { model, nowUs ->
            val admission = model.submit(job, nowUs)
            if (admission == EngineAdmission.ACCEPTED) streams[job.requestId] = events
            admission
        }

    private fun step(): Long? {
        val nowUs = nowUs()
        model.advance(nowUs).forEach(::dispatch)
        val next = model.nextEventUs() ?: return null
        return maxOf(0, (next - nowUs + US_PER_MS - 1) / US_PER_MS)
    }

    private fun dispatch(event: EngineEvent) {
        streams[event.requestId]?.trySend(event)
        if (event is EngineEvent.Finished) streams.remove(event.requestId)?.close()
    }

    private fun nowUs() = System.nanoTime() / NS_PER_US

    companion object {
        private const val NS_PER_US = 1_000L
        private const val US_PER_MS = 1_000L

        fun monotonicUs() = System.nanoTime() / NS_PER_US
    }
}
