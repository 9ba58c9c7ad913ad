package org.lycheemount.config

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.lycheemount.common.RouterId
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply

/** Exchanges configuration with other routers: pulls from them and responds to their pull requests. */
internal class PeerSync(
    private val messenger: PeerMessenger,
    private val replica: ConfigurationReplica,
) {
    private val lock = Mutex()

    fun respond(payload: ByteArray): ByteArray {
        val request = wireCbor.decodeFromByteArray(PullRequest.serializer(), payload)
        return wireCbor.encodeToByteArray(PullResponse.serializer(), createResponse(request))
    }

    /** Pulls the changes that [peer] has and this router lacks; returns false if the peer did not respond or has no configuration. */
    suspend fun pull(peer: RouterId): Boolean =
        lock.withLock {
            repeat(MAX_PULL_ROUNDS) {
                val localSequence = replica.sequence
                val response = sendPullRequest(peer, PullRequest(localSequence, fullState = !replica.isLoaded)) ?: return false
                if (!response.isLoaded) return false
                if (replica.isLoaded && response.sequence <= localSequence) return true
                val changes = response.changes
                val needsFullState = changes == null || !replica.isLoaded || !applyAll(changes)
                if (needsFullState && !pullFullState(peer)) return false
                if (replica.sequence >= response.sequence) return true
            }
            return true
        }

    private fun applyAll(changes: List<String>): Boolean =
        changes.all { replica.apply(rowJson.decodeFromString(ConfigurationChange.serializer(), it)) != ApplyOutcome.MissingPredecessor }

    private suspend fun pullFullState(peer: RouterId): Boolean {
        var afterKey: ItemKey? = null
        var firstPage: PullResponse? = null
        do {
            val page = sendPullRequest(peer, PullRequest(0, fullState = true, afterKey)) ?: return false
            if (!page.isLoaded) return false
            val items = page.items.map { rowJson.decodeFromString(ConfigurationItem.serializer(), it) }
            replica.merge(items)
            // Later pages may include newer items, so the state is known to be complete only up to the sequence of the first page.
            firstPage = firstPage ?: page
            afterKey = items.lastOrNull()?.key
        } while (page.hasMore)
        replica.markComplete(firstPage!!.sequence, firstPage.changeId)
        return true
    }

    private suspend fun sendPullRequest(
        peer: RouterId,
        request: PullRequest,
    ): PullResponse? {
        val payload = wireCbor.encodeToByteArray(PullRequest.serializer(), request)
        val reply = messenger.call(peer, pullChannel, payload, CALL_TIMEOUT_MS) as? PeerReply.Received ?: return null
        return runCatching { wireCbor.decodeFromByteArray(PullResponse.serializer(), reply.payload) }.getOrNull()
    }

    private fun createResponse(request: PullRequest): PullResponse {
        if (!replica.isLoaded) return PullResponse(isLoaded = false)
        // Read before the items, so that the pages include everything up to this sequence.
        val sequence = replica.sequence
        val changeId = replica.lastChangeId
        if (!request.fullState) {
            val changes = replica.changesAfter(request.afterSequence)?.take(MAX_CHANGES_PER_RESPONSE)
            val texts = changes?.map { rowJson.encodeToString(ConfigurationChange.serializer(), it) }
            return PullResponse(isLoaded = true, sequence, changeId, texts)
        }
        val items = replica.page(request.afterKey, ITEMS_PER_PAGE)
        val texts = items.map { rowJson.encodeToString(ConfigurationItem.serializer(), it) }
        return PullResponse(isLoaded = true, sequence, changeId, changes = null, texts, hasMore = items.size == ITEMS_PER_PAGE)
    }

    private companion object {
        private const val CALL_TIMEOUT_MS = 2_000L
        private const val MAX_PULL_ROUNDS = 20

        // A change may write 100 items of about 1 KB. These limits keep responses below the frame limit of 1 MiB.
        private const val MAX_CHANGES_PER_RESPONSE = 8
        private const val ITEMS_PER_PAGE = 250
    }
}
