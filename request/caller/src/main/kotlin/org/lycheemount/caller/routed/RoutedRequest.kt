package org.lycheemount.caller.routed

import io.ktor.http.Headers
import org.lycheemount.caller.AdmissionController
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.MemoryAccount
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId
import org.lycheemount.config.Route
import org.lycheemount.config.RoutedService
import org.lycheemount.quarantine.PromptSegments
import org.lycheemount.quarantine.SegmentId

/**
 * A validated routed request that has passed admission.
 *
 * @property teamId null on a public route.
 * @property memory holds the memory of the request until its end.
 * @property expiresAtMs monotonic time of the route's timeout or the caller's deadline, whichever is earlier.
 * @property configurationSequence version of the configuration under which the request was admitted.
 */
internal class RoutedRequest(
    val requestId: RequestId,
    val metadata: RequestMetadata,
    val route: Route,
    val service: RoutedService,
    val admission: AdmissionController.Admission,
    val teamId: TeamId?,
    val method: String,
    val target: String,
    val callerHeaders: Headers,
    val body: ByteArray,
    val memory: MemoryAccount,
    val arrivedAtMs: Long,
    val expiresAtMs: Long,
    val configurationSequence: Long,
) {
    val backendTarget: BackendTarget =
        if (service.engine == null) {
            BackendTarget.Service(service.serviceId)
        } else {
            BackendTarget.Model(ModelId(service.serviceId.value))
        }

    /** Maximum number of tokens that the request can use; null when the caller does not tell. */
    val maxTokens: Long? = metadata.maxTokens

    /** Whether the caller goes on with a stream that an earlier request has begun. */
    val isResumption: Boolean = route.hasResumableStreams && metadata.resumesStream

    /** Time until the request expires, at least 1 ms. */
    fun remainingMs(nowMs: Long): Long = (expiresAtMs - nowMs).coerceAtLeast(1)

    /** Whether tokens are charged against a prepaid total of the team. */
    val isPrepaid: Boolean get() = admission.team.prepaidTokens != null

    /** Segments of the prompt; null when the caller does not tell them. */
    val prompt: PromptSegments? =
        metadata.promptSegments.map { SegmentId(it.id) }.let { ids -> ids.lastOrNull()?.let { PromptSegments(ids.dropLast(1), it) } }

    val prefixHashes: List<Long> = PrefixHashes(metadata.promptSegments)

    /** Routes requests with the same shared prompt segments to the same backend server. */
    val affinityHash: Long? = affinityHash(metadata.promptSegments)

    /** Prompt tokens of the shared segments. */
    val sharedTokens: Int = metadata.promptSegments.dropLast(1).sumOf { it.tokens }
}

/** The body of a request and the memory that it holds. */
internal class ReceivedBody(
    val bytes: ByteArray,
    val memory: MemoryAccount,
)
