package org.lycheemount.caller.routed

import org.lycheemount.common.BackendServer
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.quarantine.PromptQuarantine
import org.lycheemount.quarantine.PromptSegments
import org.lycheemount.quarantine.SegmentId
import java.util.concurrent.CopyOnWriteArrayList

/** Quarantine that records what it is told, and refuses prompts with [refusedSegment]. */
internal class RecordingQuarantine : PromptQuarantine {
    val brokenPrompts = CopyOnWriteArrayList<PromptSegments>()
    val servedPrompts = CopyOnWriteArrayList<PromptSegments>()

    @Volatile
    var refusedSegment: SegmentId? = null

    /** Refuses [refusedSegment] only from this number of broken attempts on. */
    @Volatile
    var refusesAfterBrokenAttempts = 0

    /** Called while a request waits for permission to be sent. */
    @Volatile
    var whileAskedToSend: () -> Unit = {}

    override val quarantinedCount = 0

    override suspend fun refusalToSend(prompt: PromptSegments): Refusal? = refusalFor(prompt).also { whileAskedToSend() }

    override fun refusalFor(prompt: PromptSegments): Refusal? =
        Refusal(RefusalReason.PROMPT_QUARANTINED, "test").takeIf {
            refusedSegment in prompt.all && brokenPrompts.size >= refusesAfterBrokenAttempts
        }

    override fun onPromptServed(prompt: PromptSegments) {
        servedPrompts += prompt
    }

    override fun onAttemptBroken(
        server: BackendServer,
        prompt: PromptSegments,
    ) {
        brokenPrompts += prompt
    }
}
