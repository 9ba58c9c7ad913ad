package org.lycheemount.scheduling

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.RequestId
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.common.TeamId
import org.lycheemount.common.WorkClassId

/**
 * A request with the properties that scheduling depends on.
 *
 * @property prefixHashes chained hashes of the prompt's blocks in prompt order; empty for plain services.
 * @property deadlineAtMs monotonic time after which the caller no longer wants the response; null when it states none.
 * @property queueShare maximum share of the queue that the team may occupy, from 0 to 1.
 * @property affinityHash hash that determines the preferred server, so that prompts with a long common part reach the same server.
 *   When null, the hash of the first block is used, for prompts whose shared parts are not known.
 * @property sharedTokens prompt tokens covered by [affinityHash]; the preferred server is assumed to have them cached, because every
 *   router sends such prompts there.
 * @property excludedServers servers on which an earlier attempt failed.
 * @property allowedVersions software versions of the servers that may run the request; null if any may.
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
    val allowedVersions: Set<SoftwareVersion>? = null,
) {
    /** Whether [server] may run this request, whatever its state. */
    fun allows(server: BackendServer): Boolean =
        target in server.targets && server.backendServerId !in excludedServers && server.hasAllowedVersion(allowedVersions)
}

/** Whether the server has one of the [versions]; true if they are null. */
internal fun BackendServer.hasAllowedVersion(versions: Set<SoftwareVersion>?): Boolean = versions == null || softwareVersion in versions
