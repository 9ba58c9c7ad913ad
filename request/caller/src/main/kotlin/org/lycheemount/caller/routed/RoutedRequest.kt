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

    /** Maximum number of tokens that the request can use; null when it is not addressed to a model. */
    val maxTokens: Long? = metadata.promptTokens?.let { it.toLong() + metadata.maxOutputTokens }

    /** Whether the caller goes on with a stream that an earlier request has begun. */
    val isResumption: Boolean = route.hasResumableStreams && metadata.resumesStream

    /** Time until the request expires, at least 1 ms. */
    fun remainingMs(nowMs: Long): Long = (expiresAtMs - nowMs).coerceAtLeast(1)

    /** Whether tokens are charged against a prepaid total of the team. */
    val isPrepaid: Boolean get() = admission.team.prepaidTokens != null

    /** Segments of the prompt; null when the caller does not tell them. */
    val prompt: PromptSegments? =
        metadata.promptSegments.map { SegmentId(it.id) }.let { ids -> ids.lastOrNull()?.let { PromptSegments(ids.dropLast(1), it) } }

    val prefixHashes: List<Long> = prefixHashes(metadata.promptSegments)

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

/** Hash of all segments but the last, which belongs to the request or its session alone; or of the only segment. */
internal fun affinityHash(segments: List<PromptSegment>): Long? {
    if (segments.isEmpty()) return null
    return segments.dropLast(1).ifEmpty { segments }.fold(HASH_SEED) { chain, segment -> mix(chain xor segment.id) }
}

/** Chained hashes of the prompt's blocks of [PREFIX_BLOCK_TOKENS] tokens; a block that spans segments belongs to the last of them. */
internal fun prefixHashes(segments: List<PromptSegment>): List<Long> {
    val hashes = ArrayList<Long>()
    var chain = HASH_SEED
    var tokens = 0
    for (segment in segments) {
        chain = mix(chain xor segment.id)
        tokens += segment.tokens
        var index = 0L
        while ((hashes.size + 1) * PREFIX_BLOCK_TOKENS <= tokens) hashes += mix(chain + ++index)
    }
    return hashes
}

private fun mix(value: Long): Long {
    val multiplied = value * HASH_MULTIPLIER
    return multiplied xor (multiplied ushr HASH_SHIFT)
}

/** Tokens per block; small enough to distinguish the segments of prompts, large enough for cheap comparisons. */
private const val PREFIX_BLOCK_TOKENS = 64
private const val HASH_SEED = 0x2545F4914F6CDD1DL
private const val HASH_MULTIPLIER = -0x61c8864680b583ebL
private const val HASH_SHIFT = 29
