package org.lycheemount.quarantine

import kotlinx.serialization.Serializable
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId

/**
 * What one router had sent to a backend server that crashed.
 *
 * @property serverRun the run of the server that ended; the same in the reports of all routers.
 * @property atTableTimeMs table time of the crash, in milliseconds.
 * @property suspects prompts of the requests that the server was about to respond to or had just begun to respond to.
 */
@Serializable
internal data class CrashReport(
    val serverRun: VmId,
    val reporter: RouterId,
    val atTableTimeMs: Long,
    val suspects: List<PromptSegments>,
)

/** Records that a server had responded at [atTableTimeMs] to a request with a segment that was suspected. */
@Serializable
internal data class SegmentClearance(
    val atTableTimeMs: Long,
)
