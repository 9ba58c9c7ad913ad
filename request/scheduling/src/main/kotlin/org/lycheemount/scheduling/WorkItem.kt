package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId
import org.lycheemount.common.WorkClassId

/**
 * A request as the scheduler sees it.
 *
 * @property prefixHashes chained hashes of the prompt's blocks, from the start; empty for plain services.
 * @property deadlineAtMs monotonic time after which the caller no longer wants the answer; null when it states none.
 * @property queueShare greatest share of the queue that the team may hold.
 * @property affinityHash hash that names the home server of the request, so that prompts that share a long part meet there; the first
 *   block's when null, which suits prompts whose shared parts are not known.
 * @property sharedTokens prompt tokens of the parts that [affinityHash] names; the home server counts as holding them, because every
 *   router sends such prompts there.
 * @property excludedServers servers on which an earlier attempt failed.
 */
data class WorkItem(
    val requestId: RequestId,
    val teamId: TeamId,
    val workClassId: WorkClassId,
    val target: BackendTarget,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val prefixHashes: List<Long>,
    val arrivedAtMs: Long,
    val deadlineAtMs: Long? = null,
    val queueShare: Double = 1.0,
    val excludedServers: Set<BackendServerId> = emptySet(),
    val affinityHash: Long? = null,
    val sharedTokens: Int = 0,
)
