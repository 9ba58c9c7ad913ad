package org.lycheemount.quarantine

import org.lycheemount.common.BackendServer
import org.lycheemount.common.Refusal

/** Keeps prompts that crash backend servers away from further servers. Thread-safe; no method suspends or does I/O. */
interface PromptQuarantine {
    /** Number of segments, or sets of segments that only occur together, whose requests are refused now. */
    val quarantinedCount: Int

    /** Returns why a request with [prompt] must not be sent to a server, or null if it may be sent. */
    fun refusalFor(prompt: PromptSegments): Refusal?

    /** A server has begun to respond to a request with [prompt]. None of its segments crashes servers. */
    fun onResponseStarted(prompt: PromptSegments)

    /** The connection to [server] broke before the response to a request with [prompt] began. */
    fun onAttemptBroken(
        server: BackendServer,
        prompt: PromptSegments,
    )
}

/** Quarantine that refuses no prompt, for routers whose requests do not tell their segments. */
object DisabledPromptQuarantine : PromptQuarantine {
    override val quarantinedCount: Int = 0

    override fun refusalFor(prompt: PromptSegments): Refusal? = null

    override fun onResponseStarted(prompt: PromptSegments) = Unit

    override fun onAttemptBroken(
        server: BackendServer,
        prompt: PromptSegments,
    ) = Unit
}
