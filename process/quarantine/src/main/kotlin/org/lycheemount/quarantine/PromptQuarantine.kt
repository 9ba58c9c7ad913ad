package org.lycheemount.quarantine

import org.lycheemount.common.BackendServer
import org.lycheemount.common.Refusal

/** Keeps prompts that crash backend servers away from further servers. Thread-safe; only [refusalToSend] suspends or does I/O. */
interface PromptQuarantine {
    /** Number of segments, or sets of segments that only occur together, whose requests are refused now. */
    val quarantinedCount: Int

    /** Returns why a request with [prompt] must not be sent to a server, or null if it may be sent. */
    fun refusalFor(prompt: PromptSegments): Refusal?

    /** Returns why a request with [prompt] must not be sent to a server, or null if it is sent now, as one of few that may be sent. */
    suspend fun refusalToSend(prompt: PromptSegments): Refusal? = refusalFor(prompt)

    /** A server has responded to a request with [prompt], completely or for [CRASH_WINDOW_MS]. None of its segments crashes servers. */
    fun onPromptServed(prompt: PromptSegments)

    /** The connection to [server] broke before [onPromptServed] could be reported of a request with [prompt]. */
    fun onAttemptBroken(
        server: BackendServer,
        prompt: PromptSegments,
    )
}

/**
 * Time from the first bytes of a response, in milliseconds, in which a server crashes if it crashes on the prompt. A crash does not hold
 * back what has been sent before it.
 */
const val CRASH_WINDOW_MS: Long = 1_000

/** Quarantine that refuses no prompt, for routers whose requests do not tell their segments. */
object DisabledPromptQuarantine : PromptQuarantine {
    override val quarantinedCount: Int = 0

    override fun refusalFor(prompt: PromptSegments): Refusal? = null

    override fun onPromptServed(prompt: PromptSegments) = Unit

    override fun onAttemptBroken(
        server: BackendServer,
        prompt: PromptSegments,
    ) = Unit
}
